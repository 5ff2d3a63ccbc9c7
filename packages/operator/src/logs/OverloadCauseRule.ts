import * as causeRule from './CauseRule.js';
import type * as requestHistory from './RequestHistory.js';

/** Recognizes requests that no instance accepted: instances rejected them, were unreachable, stated limits or had no free slot in time. */
export class OverloadCauseRule extends causeRule.CauseRule {
  override findCause(log: requestHistory.RequestHistory): causeRule.Cause | undefined {
    if (log.getReason() !== 'overloaded' && log.getReason() !== 'too-late') return undefined;
    const rejected = log.listFailedAttemptsByEnding(['not-run', 'misdirected']);
    const unsent = log.listFailedAttemptsByEnding(['unsent']);
    if (rejected.length > 0) {
      return { name: 'shedding-instances', text: `${OverloadCauseRule.listInstances(log, rejected)} rejected the request` };
    }
    if (unsent.length > 0) {
      return { name: 'unreachable-instance', text: `${OverloadCauseRule.listInstances(log, unsent)} could not be reached from ${log.run.vm}` };
    }
    const outcomeLine = log.getOutcomeLine();
    const limited = log.readNumber(outcomeLine, 'limited');
    if (limited > 0) {
      return {
        name: 'limited-instances',
        text: `${limited} instances state a limit of requests: ${log.readNumber(outcomeLine, 'waiting')} requests ahead, `
          + `${log.readNumber(outcomeLine, 'slots')} usable slots`,
      };
    }
    return {
      name: 'full-service',
      text: `no slot became free in time: ${log.readNumber(outcomeLine, 'waiting')} requests ahead, ${log.readNumber(outcomeLine, 'slots')} slots, `
        + `median service time ${log.readNumber(outcomeLine, 'serviceMs')} ms`,
    };
  }

  private static listInstances(log: requestHistory.RequestHistory, attempts: requestHistory.RequestHistory['lines']): string {
    return attempts.map((line) => log.readText(line, 'instance')).join(', ');
  }
}
