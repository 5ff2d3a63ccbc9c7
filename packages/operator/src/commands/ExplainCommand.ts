import * as fs from 'node:fs';
import * as readline from 'node:readline';
import * as neverthrow from 'neverthrow';

import * as logs from '../logs/index.js';
import * as command from './Command.js';

/** Options of an `ExplainCommand`. */
export interface ExplainCommandOptions {
  /** Id of the request. */
  readonly id: string;
  /** Log files of any number of VMs. */
  readonly files: readonly string[];
  /** Read when no file is named. */
  readonly input: NodeJS.ReadableStream;
  readonly format: 'text' | 'json';
  readonly output: command.CommandOutput;
}

/** Explains from the logs of the VMs what became of a request. */
export class ExplainCommand extends command.Command {
  private readonly collection = new logs.LogCollection();

  /** @param options - Id and logs. */
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
    const story = this.collection.findRequest(id);
    if (story === undefined) {
      this.output.printError(`no line names ${id}; lines of answered requests are left out under load`);
      return 1;
    }
    this.printStory(story);
    return 0;
  }

  private printStory(story: logs.RequestLog): void {
    const cause = logs.RequestExplainer.findCause(story);
    if (this.options.format === 'json') {
      this.output.printLine(JSON.stringify({
        id: story.id,
        vm: story.run.vm,
        outcome: story.getOutcome(),
        cause: cause.name,
        text: cause.text,
        lines: story.lines.map((line) => line.fields),
        unreadable: this.collection.unreadableLineCount,
      }));
      return;
    }
    logs.RequestExplainer.describeLines(story).forEach((line) => this.output.printLine(line));
    this.output.printLine(`outcome: ${story.getOutcome()}${story.getReason() === undefined ? '' : ` (${story.getReason()})`}`);
    this.output.printLine(`probable cause: ${cause.name}: ${cause.text}`);
    if (this.collection.unreadableLineCount > 0) this.output.printLine(`${this.collection.unreadableLineCount} lines could not be read`);
  }

  private async readLines(name: string, input: NodeJS.ReadableStream): Promise<neverthrow.Result<void, string>> {
    return neverthrow.ResultAsync.fromPromise((async () => {
      for await (const line of readline.createInterface({ input, crlfDelay: Infinity })) this.collection.addText(line);
    })(), () => `${name}: cannot be read`);
  }
}
