import type * as fleet from '../fleet/index.js';
import * as html from './Html.js';

/** Renders the page with the status of all entry VMs. */
export class FleetPage {
  /** @param statusResults - Result of reading the status of each entry VM that the platform lists. */
  constructor(private readonly statusResults: readonly fleet.VmStatusResult[]) {}

  /** Returns the page as HTML. */
  render(): string {
    return html.Html.renderPage('Fleet', [
      html.Html.renderTable('Entry VMs', ['VM', 'State', 'Place', 'Version', 'Digest', 'Waiting for', 'Refused document', 'Conflicts', 'In flight'], this.buildVmRows()),
      html.Html.renderTable('Instances out of normal service', ['VM', 'Service', 'Instance', 'State', 'Weight', 'Reason'], this.buildInstanceRows()),
    ].join(''));
  }

  private buildVmRows(): readonly (readonly string[])[] {
    return this.statusResults.map((result) => {
      if (result.type === 'unreachable') return [result.vm, `unreachable: ${result.detail}`, '', '', '', '', '', '', ''];
      const { status } = result;
      const { configuration } = status;
      return [
        result.vm,
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

  private buildInstanceRows(): readonly (readonly string[])[] {
    return this.statusResults.flatMap((result) => (result.type === 'unreachable' ? [] : result.status.upstreams.flatMap((upstream) => (
      upstream.instances
        .filter((instance) => instance.state !== 'in-service')
        .map((instance) => [result.vm, upstream.service, instance.name, instance.state, instance.weight.toFixed(2), instance.reason])))));
  }
}
