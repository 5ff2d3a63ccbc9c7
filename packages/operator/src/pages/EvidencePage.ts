import type * as fleet from '../fleet/index.js';
import * as html from './Html.js';

/** Renders the page with the service report (evidence) of one member. */
export class EvidencePage {
  /**
   * @param member - Member whose reports are shown; if empty, only the form is rendered.
   * @param evidenceResults - Service report from each listed VM.
   */
  constructor(private readonly member: string, private readonly evidenceResults: readonly fleet.EvidenceResult[]) {}

  /** Renders the page. */
  render(): string {
    const form = `<form method="post" action="/evidence" class="fields"><label for="member">Member<input id="member" name="member" required value="${html.Html.encodeText(this.member)}"></label>
<label for="key">Member key<input id="key" name="key" type="password" autocomplete="off"></label><p class="actions"><button>Show</button></p></form>`;
    return html.Html.renderPage('Evidence', this.member === '' ? form : `${form}${this.renderEvidence()}`);
  }

  private renderEvidence(): string {
    const reports = this.evidenceResults.flatMap((result) => (result.type === 'read' ? [result.report] : []));
    const served = reports.reduce((sum, report) => sum + report.served, 0);
    const asked = reports.reduce((sum, report) => sum + report.asked, 0);
    const unreadVms = this.evidenceResults.filter((result) => result.type === 'unknown').map((result) => result.vm);
    const counting = reports[0]?.counting ?? 'unknown';
    return `<p>Counting method ${html.Html.encodeText(counting)}: served ${served.toFixed(1)} of ${asked.toFixed(1)} in the reports of the VMs that are running now.
The metrics contain the counts of VMs that were replaced; a sequence number missing there means unknown counts, not zero.</p>
${unreadVms.length === 0 ? '' : `<p class="notice">Reports could not be read from: ${html.Html.encodeText(unreadVms.join(', '))}</p>`}
${html.Html.renderTable('Requests', ['VM', 'Service', 'Kind', 'Requests', 'On time', 'Late', 'Not run', 'Unknown', 'p50 ms', 'p99 ms'], reports.flatMap((report) => (
  report.counts.map((count) => [
    report.vm, count.service, count.kind, String(count.requests), String(count.answeredOnTime), String(count.answeredLate),
    String(count.notRun), String(count.unknown), count.latencyMs.p50.toFixed(1), count.latencyMs.p99.toFixed(1)])
)))}`;
  }
}
