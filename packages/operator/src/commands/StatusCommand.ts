import * as fleet from '../fleet/index.js';
import * as command from './Command.js';

/** Options of a `StatusCommand`. */
export interface StatusCommandOptions {
  readonly platformUrl: string;
  readonly format: 'text' | 'json';
  readonly output: command.CommandOutput;
}

/** Shows the document version, ejections and reasons of every listed VM. */
export class StatusCommand extends command.Command {
  /** @param options - Platform and format. */
  constructor(private readonly options: StatusCommandOptions) {
    super(options.output);
  }

  override async run(): Promise<command.ExitCode> {
    const readings = await new fleet.FleetReader(this.options.platformUrl).readStatus();
    if (readings.isErr()) {
      this.output.printError(`platform: the list of VMs cannot be read: ${readings.error}`);
      return 1;
    }
    if (this.options.format === 'json') this.output.printLine(JSON.stringify(readings.value));
    else readings.value.forEach((reading) => this.printReading(reading));
    return readings.value.some((reading) => reading.type === 'unreachable') ? 1 : 0;
  }

  private printReading(reading: fleet.VmStatusResult): void {
    if (reading.type === 'unreachable') {
      this.output.printLine(`${reading.vm}  unreachable: ${reading.detail}`);
      return;
    }
    const { configuration, state, upstreams } = reading.status;
    const version = configuration.document === undefined ? 'no document' : `version ${configuration.document.version}`;
    const waiting = configuration.waitingFor === '' ? '' : `, waiting for ${configuration.waitingFor}`;
    const refusal = configuration.refusal === undefined ? '' : `, refused a document: ${configuration.refusal.type}`;
    const conflicts = configuration.conflicts.length === 0 ? '' : `, conflicting versions: ${configuration.conflicts.map((conflict) => conflict.version).join(' ')}`;
    this.output.printLine(`${reading.vm}  ${state}, ${version}${waiting}${refusal}${conflicts}`);
    upstreams.forEach((upstream) => upstream.instances
      .filter((instance) => instance.state !== 'in-service')
      .forEach((instance) => this.output.printLine(
        `  ${upstream.service}/${instance.name}  ${instance.state}, weight ${instance.weight.toFixed(2)}${instance.reason === '' ? '' : `, ${instance.reason}`}`,
      )));
  }
}
