import * as causeRule from './CauseRule.js';
import type * as requestHistory from './RequestHistory.js';

/** Maps refusal reasons to causes, where the reason alone identifies the cause. */
export class RefusalCauseRule extends causeRule.CauseRule {
  override findCause(log: requestHistory.RequestHistory): causeRule.Cause | undefined {
    const outcomeLine = log.getOutcomeLine();
    const configuration = log.findConfigurationInForce();
    const configurationText = configuration === undefined
      ? 'the VM had no configuration'
      : `configuration version ${String(configuration.version)} had been in force for ${Math.round(configuration.ageMs)} ms`;
    switch (log.getReason()) {
      case 'no-route':
        return { name: 'no-route', text: `no route matches ${log.readText(outcomeLine, 'host') ?? ''}${log.readText(outcomeLine, 'path') ?? ''}; ${configurationText}` };
      case 'no-configuration':
        return { name: 'starting-vm', text: `the VM could not look up the route of the request; ${configurationText}` };
      case 'no-instance':
        return { name: 'no-instance', text: 'the service has no instance that accepts requests' };
      case 'stopping':
        return { name: 'stopping-vm', text: 'the process was shutting down and would have exited before the deadline of the request; another VM can serve it' };
      case 'memory':
        return { name: 'memory', text: 'buffering the body of the request would have exceeded the memory limit of the VM for request bodies' };
      default:
        return undefined;
    }
  }
}
