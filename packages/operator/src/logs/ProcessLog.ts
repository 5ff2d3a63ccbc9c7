import type * as logLine from './LogLine.js';

/** Lines of one run of a front process, in the order of its steady time. */
export class ProcessLog {
  private readonly lines: logLine.LogLine[] = [];

  private order: 'sorted' | 'unsorted' = 'sorted';

  /** @param vm - Name of the VM. */
  constructor(readonly vm: string) {}

  /**
   * Adds a line.
   * @param line - Line of this run.
   */
  addLine(line: logLine.LogLine): void {
    this.lines.push(line);
    this.order = 'unsorted';
  }

  /** Lists the lines. */
  listLines(): readonly logLine.LogLine[] {
    if (this.order === 'unsorted') this.lines.sort((left, right) => left.ms - right.ms);
    this.order = 'sorted';
    return this.lines;
  }

  /**
   * Finds the last line of an event at or before a time.
   * @param event - Name of the event.
   * @param ms - Steady time of the process.
   */
  findLastLine(event: string, ms: number): logLine.LogLine | undefined {
    return this.listLines().filter((line) => line.event === event && line.ms <= ms).pop();
  }

  /**
   * Lists the failed attempts at an instance in a span.
   * @param instance - Id of the instance.
   * @param fromMs - Begin of the span.
   * @param toMs - End of the span.
   */
  listFailedAttempts(instance: string, fromMs: number, toMs: number): readonly logLine.LogLine[] {
    return this.listLines().filter((line) => (
      line.event === 'attempt-failed' && line.fields['instance'] === instance && line.ms >= fromMs && line.ms <= toMs
    ));
  }
}
