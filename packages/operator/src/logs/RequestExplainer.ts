import * as callerCauseRule from './CallerCauseRule.js';
import type * as causeRule from './CauseRule.js';
import * as instanceCauseRule from './InstanceCauseRule.js';
import * as overloadCauseRule from './OverloadCauseRule.js';
import * as refusalCauseRule from './RefusalCauseRule.js';
import type * as requestLog from './RequestLog.js';

// The first rule that finds a cause decides: the more specific ones come first.
const RULES: readonly causeRule.CauseRule[] = [
  new refusalCauseRule.RefusalCauseRule(),
  new overloadCauseRule.OverloadCauseRule(),
  new instanceCauseRule.InstanceCauseRule(),
  new callerCauseRule.CallerCauseRule(),
];

/** Explains what became of a request. */
export class RequestExplainer {
  /**
   * Finds the probable cause.
   * @param story - What is logged of the request.
   */
  static findCause(story: requestLog.RequestLog): causeRule.Cause {
    const found = RULES.map((rule) => rule.findCause(story)).find((cause) => cause !== undefined);
    if (found !== undefined) return found;
    return story.getOutcome() === 'answered'
      ? { name: 'slow-instance', text: `answered by one attempt after ${story.getElapsedMs()} ms, of which it may have waited for a slot` }
      : { name: 'unknown', text: 'the log does not tell' };
  }

  /**
   * Describes the decisions in their order, one line each.
   * @param story - What is logged of the request.
   */
  static describeLines(story: requestLog.RequestLog): string[] {
    return story.lines.map((line) => {
      const fields = Object.entries(line.fields)
        .filter(([name]) => !['ms', 'vm', 'event', 'id'].includes(name))
        .map(([name, value]) => `${name}=${String(value)}`);
      return `${String(line.ms).padStart(9)} ms  ${line.vm}  ${line.event}  ${fields.join(' ')}`;
    });
  }
}
