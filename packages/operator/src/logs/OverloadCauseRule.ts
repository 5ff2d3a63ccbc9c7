import * as causeRule from './CauseRule.js';
import type * as requestLog from './RequestLog.js';

/** Requests that no instance took: unreachable ones, ones that turn away, or none with room. */
export class OverloadCauseRule extends causeRule.CauseRule {
  override findCause(story: requestLog.RequestLog): causeRule.Cause | undefined {
    if (story.getReason() !== 'overloaded' && story.getReason() !== 'too-late') return undefined;
    const shed = story.listFailedAttemptsByEnding(['not-run', 'misdirected']);
    const unreached = story.listFailedAttemptsByEnding(['unsent']);
    if (shed.length > 0) {
      return { name: 'shedding-instances', text: `${OverloadCauseRule.listInstances(story, shed)} turned it away` };
    }
    if (unreached.length > 0) {
      return { name: 'unreachable-instance', text: `${OverloadCauseRule.listInstances(story, unreached)} could not be reached from ${story.run.vm}` };
    }
    const end = story.getOutcomeLine();
    return {
      name: 'full-service',
      text: `no slot in time: ${story.readNumber(end, 'waiting')} requests ahead, ${story.readNumber(end, 'slots')} slots, `
        + `median ${story.readNumber(end, 'serviceMs')} ms`,
    };
  }

  private static listInstances(story: requestLog.RequestLog, attempts: requestLog.RequestLog['lines']): string {
    return attempts.map((line) => story.readText(line, 'instance')).join(', ');
  }
}
