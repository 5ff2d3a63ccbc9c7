import * as fs from 'node:fs';

import * as logOutput from './LogOutput.js';

const STANDARD_OUTPUT = 1;

/** Standard output of the process. */
export class StandardLogOutput extends logOutput.LogOutput {
  override write(lines: string, onWritten: () => void): void {
    // Written by a thread of the pool, so that a full pipe does not hold up requests.
    fs.write(STANDARD_OUTPUT, lines, () => onWritten());
  }

  override writeLast(lines: string): void {
    try {
      fs.writeSync(STANDARD_OUTPUT, lines);
    } catch {
      // The reader is gone or does not read; there is nowhere left to report it.
    }
  }
}
