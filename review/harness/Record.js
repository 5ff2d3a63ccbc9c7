import * as fs from 'node:fs';

import * as clock from './clock.js';

/** Writes record.txt: what was sent, answered and run, with the time since the start of the script. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startMs = clock.getNowMs();
    this.lines = [];
    fs.writeFileSync(file, '');
  }

  write(text, atMs = clock.getNowMs()) {
    this.lines.push(`${((atMs - this.startMs) / 1_000).toFixed(3).padStart(8)} ${text}`);
  }

  flush() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
