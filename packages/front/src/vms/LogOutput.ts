/** Where log lines go. */
export abstract class LogOutput {
  /**
   * Writes lines without waiting for their reader.
   * @param lines - Lines, each ended by a line break.
   * @param onWritten - Called when the reader has taken them, or when they are lost.
   */
  abstract write(lines: string, onWritten: () => void): void;

  /**
   * Writes the last lines of a process.
   * @param lines - Lines, each ended by a line break.
   */
  abstract writeLast(lines: string): void;
}
