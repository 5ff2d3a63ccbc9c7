import * as neverthrow from 'neverthrow';

import * as consoles from '../consoles/index.js';
import * as settings from '../settings/index.js';
import * as command from './Command.js';

/** Options of a `ConsoleCommand`. */
export interface ConsoleCommandOptions {
  readonly settingsFile: string;
  readonly output: command.CommandOutput;
  /** Resolves when the console has to stop. */
  readonly stopSignal: Promise<void>;
}

/** Runs the web console for operators until it is stopped. */
export class ConsoleCommand extends command.Command {
  /** @param options - Settings file, output and stop signal. */
  constructor(private readonly options: ConsoleCommandOptions) {
    super(options.output);
  }

  override async run(): Promise<command.ExitCode> {
    const read = await settings.ConsoleSettingsReader.read(this.options.settingsFile);
    if (read.isErr()) {
      this.output.printError(read.error);
      return 2;
    }
    const server = new consoles.ConsoleServer(read.value);
    const port = await neverthrow.ResultAsync.fromPromise(server.listen(), (error) => (error instanceof Error ? error.message : 'the server could not start listening'));
    if (port.isErr()) {
      this.output.printError(`console: ${port.error}`);
      return 1;
    }
    this.output.printLine(`console: listening on http://${read.value.host}:${port.value}/`);
    await this.options.stopSignal;
    await server.close();
    return 0;
  }
}
