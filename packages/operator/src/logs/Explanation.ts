import * as callerCause from './CallerCause.js';
import type * as causeRule from './CauseRule.js';
import * as instanceCause from './InstanceCause.js';
import * as overloadCause from './OverloadCause.js';
import * as refusalCause from './RefusalCause.js';
import type * as requestStory from './RequestStory.js';

// The first rule that finds a cause decides: the more specific ones come first.
const RULES: readonly causeRule.CauseRule[] = [
  new refusalCause.RefusalCause(), new overloadCause.OverloadCause(), new instanceCause.InstanceCause(), new callerCause.CallerCause(),
];

/** Explains what became of a request. */
export class Explanation {
  /**
   * Finds the probable cause.
   * @param story - What is logged of the request.
   */
  static findCause(story: requestStory.RequestStory): causeRule.Cause {
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
  static describeLines(story: requestStory.RequestStory): string[] {
    return story.lines.map((line) => {
      const fields = Object.entries(line.fields)
        .filter(([name]) => !['ms', 'vm', 'event', 'id'].includes(name))
        .map(([name, value]) => `${name}=${String(value)}`);
      return `${String(line.ms).padStart(9)} ms  ${line.vm}  ${line.event}  ${fields.join(' ')}`;
    });
  }
}
