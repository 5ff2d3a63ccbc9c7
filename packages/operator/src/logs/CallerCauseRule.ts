import * as causeRule from './CauseRule.js';
import type * as requestLog from './RequestLog.js';

/** Requests whose caller left, without another sign of trouble. */
export class CallerCauseRule extends causeRule.CauseRule {
  override findCause(story: requestLog.RequestLog): causeRule.Cause | undefined {
    if (story.getOutcome() !== 'abandoned') return undefined;
    const usualMs = story.computeMedianLatencyMs();
    const usual = usualMs === undefined ? '' : `; answers of its route usually take ${usualMs} ms`;
    return { name: 'caller-left', text: `the caller left or its connection broke after ${story.getElapsedMs()} ms${usual}` };
  }
}
