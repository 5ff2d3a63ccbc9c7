import * as consola from 'consola/basic';

/** Writes log lines to the standard error stream, since the standard output carries only the JSON line with the bound ports. */
export class ProcessLog {
  private readonly output = consola.createConsola({ stdout: process.stderr, stderr: process.stderr, formatOptions: { date: false } });

  /**
   * Writes one line.
   * @param level - Log level.
   * @param prefix - Name of the part of the system that logs the line, see docs/style.md.
   * @param text - Short sentence without a full stop.
   */
  write(level: 'info' | 'warn' | 'error', prefix: string, text: string): void {
    this.output[level](`${prefix}: ${text}`);
  }
}
