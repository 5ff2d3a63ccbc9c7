/** Exit code of a command: 0 done, 1 checked and found wrong or failed, 2 wrong arguments or settings. */
export type ExitCode = 0 | 1 | 2;

/** Receives the lines that a command prints. */
export interface CommandOutput {
  /**
   * Prints a line for people or programs to standard output.
   * @param line - Line without an end.
   */
  printLine(line: string): void;

  /**
   * Prints an error line to standard error.
   * @param line - Line without an end.
   */
  printError(line: string): void;
}

/** Command of the operators' program. */
export abstract class Command {
  /** @param output - Receives what the command prints. */
  constructor(protected readonly output: CommandOutput) {}

  /** Runs the command and resolves to the exit code of the program. */
  abstract run(): Promise<ExitCode>;
}
