import * as fleet from '../fleet/index.js';
import * as command from './Command.js';

/** Options of a `StatusCommand`. */
export interface StatusCommandOptions {
  readonly platformUrl: string;
  readonly format: 'text' | 'json';
  readonly output: command.CommandOutput;
}

/** Prints the state and document version of every entry VM that the platform lists, and its instances that are not in service. */
export class StatusCommand extends command.Command {
  /** @param options - Platform URL and output format. */
  constructor(private readonly options: StatusCommandOptions) {
    super(options.output);
  }

  override async run(): Promise<command.ExitCode> {
    const results = await new fleet.FleetReader(this.options.platformUrl).readStatus();
    if (results.isErr()) {
      this.output.printError(`platform: the list of VMs could not be read: ${results.error}`);
      return 1;
    }
    if (this.options.format === 'json') this.output.printLine(JSON.stringify(results.value));
    else results.value.forEach((result) => this.printResult(result));
    return results.value.some((result) => result.type === 'unreachable') ? 1 : 0;
  }

  private printResult(result: fleet.VmStatusResult): void {
    if (result.type === 'unreachable') {
      this.output.printLine(`${result.vm}  unreachable: ${result.detail}`);
      return;
    }
    const { configuration, state, upstreams } = result.status;
    const version = configuration.document === undefined ? 'no document' : `version ${configuration.document.version}`;
    const waiting = configuration.waitingFor === '' ? '' : `, waiting for ${configuration.waitingFor}`;
    const refusal = configuration.refusal === undefined ? '' : `, refused a document: ${configuration.refusal.type}`;
    const conflicts = configuration.conflicts.length === 0 ? '' : `, conflicting versions: ${configuration.conflicts.map((conflict) => conflict.version).join(' ')}`;
    this.output.printLine(`${result.vm}  ${state}, ${version}${waiting}${refusal}${conflicts}`);
    upstreams.forEach((upstream) => upstream.instances
      .filter((instance) => instance.state !== 'in-service')
      .forEach((instance) => this.output.printLine(
        `  ${upstream.service}/${instance.name}  ${instance.state}, weight ${instance.weight.toFixed(2)}${instance.reason === '' ? '' : `, ${instance.reason}`}`,
      )));
  }
}
