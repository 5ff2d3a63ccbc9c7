import type * as fleet from '../fleet/index.js';
import * as html from './Html.js';

/** Renders the evidence of one member. */
export class EvidencePage {
  /**
   * @param member - Member that is shown; empty before one was asked for.
   * @param evidenceResults - Evidence of each listed VM.
   */
  constructor(private readonly member: string, private readonly evidenceResults: readonly fleet.EvidenceResult[]) {}

  /** Renders the page. */
  render(): string {
    const form = `<form method="post" action="/evidence" class="fields"><label for="member">Member<input id="member" name="member" required value="${html.Html.encodeText(this.member)}"></label>
<label for="key">Member key<input id="key" name="key" type="password" autocomplete="off"></label><p class="actions"><button>Show</button></p></form>`;
    return html.Html.renderPage('Evidence', this.member === '' ? form : `${form}${this.renderEvidence()}`);
  }

  private renderEvidence(): string {
    const reports = this.evidenceResults.flatMap((reading) => (reading.type === 'read' ? [reading.report] : []));
    const served = reports.reduce((sum, report) => sum + report.served, 0);
    const asked = reports.reduce((sum, report) => sum + report.asked, 0);
    const gaps = this.evidenceResults.filter((reading) => reading.type === 'unknown').map((reading) => reading.vm);
    const counting = reports[0]?.counting ?? 'unknown';
    return `<p>Counted as ${html.Html.encodeText(counting)}: served ${served.toFixed(1)} of ${asked.toFixed(1)} on VMs that are running now.
Counts of VMs that were replaced stand in the metrics; a missing sequence number there is unknown, not zero.</p>
${gaps.length === 0 ? '' : `<p class="notice">Unknown: ${html.Html.encodeText(gaps.join(', '))}</p>`}
${html.Html.renderTable('Requests', ['VM', 'Service', 'Kind', 'Requests', 'On time', 'Late', 'Not run', 'Unknown', 'p50 ms', 'p99 ms'], reports.flatMap((report) => (
  report.counts.map((count) => [
    report.vm, count.service, count.kind, String(count.requests), String(count.answeredOnTime), String(count.answeredLate),
    String(count.notRun), String(count.unknown), count.latencyMs.p50.toFixed(1), count.latencyMs.p99.toFixed(1)])
)))}`;
  }
}
