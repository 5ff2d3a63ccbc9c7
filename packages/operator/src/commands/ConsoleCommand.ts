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
    const settingsResult = await settings.ConsoleSettingsReader.read(this.options.settingsFile);
    if (settingsResult.isErr()) {
      this.output.printError(settingsResult.error);
      return 2;
    }
    const server = new consoles.ConsoleServer(settingsResult.value);
    const listenResult = await neverthrow.ResultAsync.fromPromise(server.listen(), (error) => (error instanceof Error ? error.message : 'the server could not start listening'));
    if (listenResult.isErr()) {
      this.output.printError(`console: ${listenResult.error}`);
      return 1;
    }
    this.output.printLine(`console: listening on http://${settingsResult.value.host}:${listenResult.value}/`);
    await this.options.stopSignal;
    await server.close();
    return 0;
  }
}
