import type * as fleet from '../fleet/index.js';
import * as html from './Html.js';

/** Renders the state of all entry VMs. */
export class FleetPage {
  /** @param statusResults - State of each listed VM. */
  constructor(private readonly statusResults: readonly fleet.VmStatusResult[]) {}

  /** Renders the page. */
  render(): string {
    return html.Html.renderPage('Fleet', [
      html.Html.renderTable('Entry VMs', ['VM', 'State', 'Place', 'Version', 'Digest', 'Waiting for', 'Refused document', 'Conflicts', 'In flight'], this.listVms()),
      html.Html.renderTable('Instances out of normal service', ['VM', 'Service', 'Instance', 'State', 'Weight', 'Reason'], this.listInstances()),
    ].join(''));
  }

  private listVms(): readonly (readonly string[])[] {
    return this.statusResults.map((reading) => {
      if (reading.type === 'unreachable') return [reading.vm, `unreachable: ${reading.detail}`, '', '', '', '', '', '', ''];
      const { status } = reading;
      const { configuration } = status;
      return [
        reading.vm,
        status.state,
        status.identity.place,
        String(configuration.document?.version ?? 'none'),
        configuration.document?.digest.slice(0, 12) ?? '',
        configuration.waitingFor,
        configuration.refusal === undefined ? '' : configuration.refusal.type,
        configuration.conflicts.map((conflict) => `${conflict.version} (${conflict.digest.slice(0, 12)})`).join(', '),
        String(status.requests.inFlight),
      ];
    });
  }

  private listInstances(): readonly (readonly string[])[] {
    return this.statusResults.flatMap((reading) => (reading.type === 'unreachable' ? [] : reading.status.upstreams.flatMap((upstream) => (
      upstream.instances
        .filter((instance) => instance.state !== 'in-service')
        .map((instance) => [reading.vm, upstream.service, instance.name, instance.state, instance.weight.toFixed(2), instance.reason])))));
  }
}
