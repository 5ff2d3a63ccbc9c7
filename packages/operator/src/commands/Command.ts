/** Exit code of a command: 0 success, 1 failure or invalid checked document, 2 invalid arguments, settings or input files. */
export type ExitCode = 0 | 1 | 2;

/** Receives the lines that a command prints. */
export interface CommandOutput {
  /**
   * Prints a line of the result to standard output.
   * @param line - Line without a line break.
   */
  printLine(line: string): void;

  /**
   * Prints an error line to standard error.
   * @param line - Line without a line break.
   */
  printError(line: string): void;
}

/** Command of the `tamarackferry` command-line program. */
export abstract class Command {
  /** @param output - Receives what the command prints. */
  constructor(protected readonly output: CommandOutput) {}

  /** Runs the command and resolves to the exit code for the process. */
  abstract run(): Promise<ExitCode>;
}
