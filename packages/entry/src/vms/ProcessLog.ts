import * as consola from 'consola/basic';

/** Writes log lines to the standard error stream. The standard output carries only the ready line. */
export class ProcessLog {
  private readonly output = consola.createConsola({ stdout: process.stderr, stderr: process.stderr, formatOptions: { date: false } });

  /**
   * Writes one line.
   * @param level - Level of the line.
   * @param prefix - Prefix of the part, see docs/style.md.
   * @param text - Short sentence without a full stop.
   */
  write(level: 'info' | 'warn' | 'error', prefix: string, text: string): void {
    this.output[level](`${prefix}: ${text}`);
  }
}
