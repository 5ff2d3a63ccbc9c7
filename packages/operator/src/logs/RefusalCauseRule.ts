import * as causeRule from './CauseRule.js';
import type * as requestLog from './RequestLog.js';

/** Recognizes refused requests whose refusal reason alone identifies the cause. */
export class RefusalCauseRule extends causeRule.CauseRule {
  override findCause(log: requestLog.RequestLog): causeRule.Cause | undefined {
    const end = log.getOutcomeLine();
    const version = log.findConfigurationInForce();
    const configurationText = version === undefined
      ? 'the VM had no configuration'
      : `version ${String(version.version)} had been in force for ${Math.round(version.ageMs)} ms`;
    switch (log.getReason()) {
      case 'no-route':
        return { name: 'no-route', text: `no route matches ${log.readText(end, 'host') ?? ''}${log.readText(end, 'path') ?? ''}; ${configurationText}` };
      case 'no-configuration':
        return { name: 'starting-vm', text: `the VM could not determine whether a route matches the request; ${configurationText}` };
      case 'no-instance':
        return { name: 'no-instance', text: 'the service has no instance that accepts requests' };
      case 'stopping':
        return { name: 'stopping-vm', text: 'the process was stopping and would have ended before the deadline of the request; another VM can serve it' };
      case 'memory':
        return { name: 'memory', text: 'the bodies buffered by the VM exceeded its memory limit' };
      default:
        return undefined;
    }
  }
}
