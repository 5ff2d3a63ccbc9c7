import type * as logLine from './LogLine.js';

/** Log lines of one run of a front process (see `LogLine`), ordered by the time since its start. */
export class ProcessLog {
  private readonly lines: logLine.LogLine[] = [];

  private order: 'sorted' | 'unsorted' = 'sorted';

  /** @param vm - Name of the VM. */
  constructor(readonly vm: string) {}

  /**
   * Adds a log line.
   * @param line - Log line of this run.
   */
  addLine(line: logLine.LogLine): void {
    this.lines.push(line);
    this.order = 'unsorted';
  }

  /** Lists the log lines in the order of their time. */
  listLines(): readonly logLine.LogLine[] {
    if (this.order === 'unsorted') this.lines.sort((left, right) => left.ms - right.ms);
    this.order = 'sorted';
    return this.lines;
  }

  /**
   * Finds the last line of an event that was written at or before a time.
   * @param event - Name of the event.
   * @param ms - Time since the start of the process, in milliseconds.
   */
  findLastLine(event: string, ms: number): logLine.LogLine | undefined {
    return this.listLines().filter((line) => line.event === event && line.ms <= ms).pop();
  }

  /**
   * Lists the lines of failed attempts at an instance in a time span.
   * @param instance - Id of the instance.
   * @param fromMs - Start of the span, in milliseconds since the start of the process.
   * @param toMs - End of the span (inclusive), in milliseconds since the start of the process.
   */
  listFailedAttempts(instance: string, fromMs: number, toMs: number): readonly logLine.LogLine[] {
    return this.listLines().filter((line) => (
      line.event === 'attempt-failed' && line.fields['instance'] === instance && line.ms >= fromMs && line.ms <= toMs
    ));
  }
}
