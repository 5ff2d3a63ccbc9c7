import * as fs from 'node:fs';

import * as logOutput from './LogOutput.js';

const STANDARD_OUTPUT = 1;

/** Writes log lines to the standard output of the process. */
export class StandardLogOutput extends logOutput.LogOutput {
  override write(lines: string, onWritten: () => void): void {
    // Asynchronous, so that a full pipe blocks a thread of the pool instead of the event loop.
    fs.write(STANDARD_OUTPUT, lines, () => onWritten());
  }

  override writeLast(lines: string): void {
    try {
      fs.writeSync(STANDARD_OUTPUT, lines);
    } catch {
      // The pipe is closed or full, and there is no other output to report that on.
    }
  }
}
