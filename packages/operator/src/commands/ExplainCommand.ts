import * as fs from 'node:fs';
import * as readline from 'node:readline';
import * as neverthrow from 'neverthrow';

import * as logs from '../logs/index.js';
import * as command from './Command.js';

/** Options of an `ExplainCommand`. */
export interface ExplainCommandOptions {
  /** Id of the request to explain. */
  readonly id: string;
  /** Log files of any number of VMs. */
  readonly files: readonly string[];
  /** Stream that is read if `files` is empty. */
  readonly input: NodeJS.ReadableStream;
  readonly format: 'text' | 'json';
  readonly output: command.CommandOutput;
}

/** Prints the log lines of a request, its outcome and the probable cause, from the logs of the VMs. */
export class ExplainCommand extends command.Command {
  private readonly collection = new logs.LogCollection();

  /** @param options - Request id, log files and output format. */
  constructor(private readonly options: ExplainCommandOptions) {
    super(options.output);
  }

  override async run(): Promise<command.ExitCode> {
    const { files, input, id } = this.options;
    const read = files.length === 0
      ? [await this.readLines('standard input', input)]
      : await files.reduce<Promise<neverthrow.Result<void, string>[]>>(async (before, file) => (
        [...await before, await this.readLines(file, fs.createReadStream(file))]
      ), Promise.resolve([]));
    const failed = read.find((result) => result.isErr());
    if (failed?.isErr() === true) {
      this.output.printError(failed.error);
      return 2;
    }
    const log = this.collection.findRequest(id);
    if (log === undefined) {
      this.output.printError(`no log line has the id ${id}; under load, VMs omit the lines of answered requests`);
      return 1;
    }
    this.printExplanation(log);
    return 0;
  }

  private printExplanation(log: logs.RequestHistory): void {
    const cause = logs.RequestExplainer.findCause(log);
    if (this.options.format === 'json') {
      this.output.printLine(JSON.stringify({
        id: log.id,
        vm: log.run.vm,
        outcome: log.getOutcome(),
        cause: cause.name,
        text: cause.text,
        lines: log.lines.map((line) => line.fields),
        unreadable: this.collection.unreadableLineCount,
      }));
      return;
    }
    logs.RequestExplainer.describeLines(log).forEach((line) => this.output.printLine(line));
    this.output.printLine(`outcome: ${log.getOutcome()}${log.getReason() === undefined ? '' : ` (${log.getReason()})`}`);
    this.output.printLine(`probable cause: ${cause.name}: ${cause.text}`);
    if (this.collection.unreadableLineCount > 0) this.output.printLine(`${this.collection.unreadableLineCount} lines could not be read`);
  }

  private async readLines(name: string, input: NodeJS.ReadableStream): Promise<neverthrow.Result<void, string>> {
    return neverthrow.ResultAsync.fromPromise((async () => {
      for await (const line of readline.createInterface({ input, crlfDelay: Infinity })) this.collection.addText(line);
    })(), () => `${name}: cannot be read`);
  }
}
