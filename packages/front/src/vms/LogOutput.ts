/** Destination of log lines. */
export abstract class LogOutput {
  /**
   * Writes lines asynchronously.
   * @param lines - Lines, each terminated by a line break.
   * @param onWritten - Called when the lines are written, or when the write failed.
   */
  abstract write(lines: string, onWritten: () => void): void;

  /**
   * Writes the last lines before the process exits, synchronously.
   * @param lines - Lines, each terminated by a line break.
   */
  abstract writeLast(lines: string): void;
}
