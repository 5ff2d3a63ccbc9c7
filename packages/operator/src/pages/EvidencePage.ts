import type * as fleet from '../fleet/index.js';
import * as html from './Html.js';

/** Renders the evidence page: the reports of the VMs on the requests of one member. */
export class EvidencePage {
  /**
   * @param member - Member whose reports are shown; if empty, only the form is rendered.
   * @param reportResults - Result of reading the report from each entry VM that the platform lists.
   */
  constructor(private readonly member: string, private readonly reportResults: readonly fleet.MemberReportResult[]) {}

  /** Returns the page as HTML. */
  render(): string {
    const form = `<form method="post" action="/evidence" class="fields"><label for="member">Member<input id="member" name="member" required value="${html.Html.encodeText(this.member)}"></label>
<label for="key">Member key<input id="key" name="key" type="password" autocomplete="off"></label><p class="actions"><button>Show</button></p></form>`;
    return html.Html.renderPage('Evidence', this.member === '' ? form : `${form}${this.renderReports()}`);
  }

  private renderReports(): string {
    const reports = this.reportResults.flatMap((result) => (result.type === 'read' ? [result.report] : []));
    const served = reports.reduce((sum, report) => sum + report.served, 0);
    const requested = reports.reduce((sum, report) => sum + report.asked, 0);
    const vmsWithoutReport = this.reportResults.filter((result) => result.type === 'unknown').map((result) => result.vm);
    const countingMethod = reports[0]?.counting ?? 'unknown';
    return `<p>Units by the counting method ${html.Html.encodeText(countingMethod)}: ${served.toFixed(1)} of ${requested.toFixed(1)} served on time, according to the VMs that are running now.
The metrics contain the counts of replaced VMs. A gap in the sequence numbers of the evidence there means that counts are unknown, not zero.</p>
${vmsWithoutReport.length === 0 ? '' : `<p class="notice">Reports could not be read from: ${html.Html.encodeText(vmsWithoutReport.join(', '))}</p>`}
${html.Html.renderTable('Requests', ['VM', 'Service', 'Kind', 'Requests', 'On time', 'Late', 'Not run', 'Unknown', 'p50 ms', 'p99 ms'], reports.flatMap((report) => (
  report.counts.map((count) => [
    report.vm, count.service, count.kind, String(count.requests), String(count.answeredOnTime), String(count.answeredLate),
    String(count.notRun), String(count.unknown), count.latencyMs.p50.toFixed(1), count.latencyMs.p99.toFixed(1)])
)))}`;
  }
}
