import * as causeRule from './CauseRule.js';
import type * as requestLog from './RequestLog.js';

/** Refusals whose reason alone tells the cause. */
export class RefusalCauseRule extends causeRule.CauseRule {
  override findCause(story: requestLog.RequestLog): causeRule.Cause | undefined {
    const end = story.getOutcomeLine();
    const version = story.findConfigurationInForce();
    const known = version === undefined
      ? 'the VM knew no configuration'
      : `version ${String(version.version)} was in force for ${Math.round(version.ageMs)} ms`;
    switch (story.getReason()) {
      case 'no-route':
        return { name: 'no-route', text: `no route matches ${story.readText(end, 'host') ?? ''}${story.readText(end, 'path') ?? ''}; ${known}` };
      case 'no-configuration':
        return { name: 'starting-vm', text: `the VM could not tell whether there is such a route; ${known}` };
      case 'no-instance':
        return { name: 'no-instance', text: 'the service has no instance that takes requests' };
      case 'stopping':
        return { name: 'stopping-vm', text: 'the process ended before the time of the request; another VM serves it' };
      case 'memory':
        return { name: 'memory', text: 'the VM held too many bytes of bodies' };
      default:
        return undefined;
    }
  }
}
