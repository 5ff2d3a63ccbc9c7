import type * as http from 'node:http';

import * as upstreamMode from './UpstreamMode.js';
import type * as upstreamStandin from './UpstreamStandin.js';

const DRAIN_STATES: readonly upstreamMode.DrainState[] = ['open', 'announcing', 'refusing'];
const REPORT_STATES: readonly upstreamMode.ReportState[] = ['exact', 'lagging', 'misleading'];

/** Control endpoint of an `UpstreamStandin`: `/-/mode`, `/-/drain`, `/-/reports` take a word as body, `/-/runs` and `/-/work` count. */
export class StandinControl {
  /** @param standin - Instance to control. */
  constructor(private readonly standin: upstreamStandin.UpstreamStandin) {}

  /**
   * Answers a request to the control endpoint.
   * @param request - Request.
   * @param response - Answer.
   * @param body - Body of the request.
   */
  answer(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
    if (request.url === '/-/runs' || request.url === '/-/work') {
      const { register } = this.standin;
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(request.url === '/-/runs' ? Object.fromEntries(register.countRuns()) : register.countWork()));
      return;
    }
    response.statusCode = this.apply(request.url ?? '', body.trim()) === 'applied' ? 204 : 400;
    response.end();
  }

  private apply(url: string, word: string): 'applied' | 'unknown' {
    const mode = upstreamMode.UPSTREAM_MODES.find((known) => known === word);
    const drain = DRAIN_STATES.find((known) => known === word);
    const reports = REPORT_STATES.find((known) => known === word);
    if (url === '/-/mode' && mode !== undefined) this.standin.setMode(mode);
    else if (url === '/-/drain' && drain !== undefined) this.standin.setDrain(drain);
    else if (url === '/-/reports' && reports !== undefined) this.standin.setReports(reports);
    else return 'unknown';
    return 'applied';
  }
}
