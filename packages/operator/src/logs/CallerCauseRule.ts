import * as causeRule from './CauseRule.js';
import type * as requestHistory from './RequestHistory.js';

/** Recognizes requests that ended because the caller disconnected. Applied last, after the rules for instances and overload. */
export class CallerCauseRule extends causeRule.CauseRule {
  override findCause(log: requestHistory.RequestHistory): causeRule.Cause | undefined {
    if (log.getOutcome() !== 'abandoned') return undefined;
    const medianMs = log.computeMedianLatencyMs();
    const median = medianMs === undefined ? '' : `; median latency of answered requests on its route: ${medianMs} ms`;
    return { name: 'caller-left', text: `the caller disconnected after ${log.getElapsedMs()} ms${median}` };
  }
}
