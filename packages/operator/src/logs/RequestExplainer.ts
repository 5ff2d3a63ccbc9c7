import * as callerCauseRule from './CallerCauseRule.js';
import type * as causeRule from './CauseRule.js';
import * as instanceCauseRule from './InstanceCauseRule.js';
import * as overloadCauseRule from './OverloadCauseRule.js';
import * as refusalCauseRule from './RefusalCauseRule.js';
import type * as requestHistory from './RequestHistory.js';

// The first rule that returns a cause decides, so more specific rules stand before more general ones.
const RULES: readonly causeRule.CauseRule[] = [
  new refusalCauseRule.RefusalCauseRule(),
  new overloadCauseRule.OverloadCauseRule(),
  new instanceCauseRule.InstanceCauseRule(),
  new callerCauseRule.CallerCauseRule(),
];

/** Determines the probable cause of the outcome of a request and formats its log lines. */
export class RequestExplainer {
  /**
   * Finds the probable cause of the outcome; `unknown` if no rule matches a request that was not answered.
   * @param log - Log lines of the request.
   */
  static findCause(log: requestHistory.RequestHistory): causeRule.Cause {
    const found = RULES.map((rule) => rule.findCause(log)).find((cause) => cause !== undefined);
    if (found !== undefined) return found;
    return log.getOutcome() === 'answered'
      ? { name: 'slow-instance', text: `answered after ${log.getElapsedMs()} ms without a failed attempt; this time includes any wait for a slot` }
      : { name: 'unknown', text: 'the log lines of the request match no known cause' };
  }

  /**
   * Formats the log lines of the request for display, ordered by time.
   * @param log - Log lines of the request.
   */
  static describeLines(log: requestHistory.RequestHistory): string[] {
    return log.lines.map((line) => {
      const fields = Object.entries(line.fields)
        .filter(([name]) => !['ms', 'vm', 'event', 'id'].includes(name))
        .map(([name, value]) => `${name}=${String(value)}`);
      return `${String(line.ms).padStart(9)} ms  ${line.vm}  ${line.event}  ${fields.join(' ')}`;
    });
  }
}
