import * as causeRule from './CauseRule.js';
import type * as requestStory from './RequestStory.js';

/** Requests that no instance took: unreachable ones, ones that turn away, or none with room. */
export class OverloadCause extends causeRule.CauseRule {
  override findCause(story: requestStory.RequestStory): causeRule.Cause | undefined {
    if (story.getReason() !== 'overloaded' && story.getReason() !== 'too-late') return undefined;
    const shed = story.listEnded(['not-run', 'misdirected']);
    const unreached = story.listEnded(['unsent']);
    if (shed.length > 0) {
      return { name: 'shedding-instances', text: `${OverloadCause.listInstances(story, shed)} turned it away` };
    }
    if (unreached.length > 0) {
      return { name: 'unreachable-instance', text: `${OverloadCause.listInstances(story, unreached)} could not be reached from ${story.run.vm}` };
    }
    const end = story.getEnd();
    return {
      name: 'full-service',
      text: `no slot in time: ${story.readNumber(end, 'waiting')} requests ahead, ${story.readNumber(end, 'slots')} slots, `
        + `median ${story.readNumber(end, 'serviceMs')} ms`,
    };
  }

  private static listInstances(story: requestStory.RequestStory, attempts: requestStory.RequestStory['lines']): string {
    return attempts.map((line) => story.readText(line, 'instance')).join(', ');
  }
}
