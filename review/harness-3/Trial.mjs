import * as fs from 'node:fs';
import * as path from 'node:path';
import * as hooks from 'node:perf_hooks';

const { process } = globalThis;

// The shell script turns it into 1. An error of Node.js itself also ends with 1, and must not count.
const BROKEN = 3;

/** One run of a case: its record, and the exit code that states the result. */
export class Trial {
  constructor(folder) {
    this.hasTrouble = process.env.TROUBLE !== '0';
    this.startedAtMs = hooks.performance.now();
    this.file = path.join(folder, 'record.txt');
    this.closers = [];
    fs.writeFileSync(this.file, `disruption: ${this.hasTrouble ? 'yes' : 'no'}\n`);
    process.once('uncaughtException', (error) => this.endFailed(error));
    process.once('unhandledRejection', (error) => this.endFailed(error));
    ['SIGTERM', 'SIGINT'].forEach((name) => process.once(name, () => this.endFailed(name)));
  }

  /** Gets the time since the start, in milliseconds. */
  getMs() {
    return hooks.performance.now() - this.startedAtMs;
  }

  /** Writes one line to the record. */
  record(text) {
    fs.appendFileSync(this.file, `${Math.round(this.getMs())} ${text}\n`);
  }

  /** Registers what ends a stand-in or the processes. */
  addCloser(closer) {
    this.closers.unshift(closer);
  }

  /** Ends everything, and the script with 1 if the rule was broken. */
  async end(breaches) {
    breaches.forEach((breach) => this.record(`broken: ${breach}`));
    this.record(breaches.length > 0 ? `result: the rule was broken ${breaches.length} times` : 'result: the rule held');
    await this.close();
    process.exit(breaches.length > 0 ? BROKEN : 0);
  }

  /** Ends the script since the case could not run. */
  async endFailed(reason) {
    this.record(`result: could not run: ${reason?.stack ?? reason}`);
    await this.close();
    process.exit(2);
  }

  async close() {
    const [next, ...rest] = this.closers;
    this.closers = rest;
    if (next === undefined) return;
    await next();
    await this.close();
  }
}
