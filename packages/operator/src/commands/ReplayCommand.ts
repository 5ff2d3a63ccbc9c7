import * as proof from '@tamarackferry/proof';

import * as command from './Command.js';

/** Options of a `ReplayCommand`. */
export interface ReplayCommandOptions {
  readonly files: readonly string[];
  readonly format: 'text' | 'json';
  readonly output: command.CommandOutput;
}

/** Replays traces through the decision logic of the entry VMs and prints which expected outcomes were met. */
export class ReplayCommand extends command.Command {
  /** @param options - Trace files and output format. */
  constructor(private readonly options: ReplayCommandOptions) {
    super(options.output);
  }

  override run(): Promise<command.ExitCode> {
    const code = proof.replay.ReplayCommand.run({
      files: this.options.files, format: this.options.format, print: (line) => this.output.printLine(line),
    });
    return Promise.resolve(code as command.ExitCode);
  }
}
