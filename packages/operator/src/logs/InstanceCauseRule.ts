import * as causeRule from './CauseRule.js';
import type * as logLine from './LogLine.js';
import type * as requestHistory from './RequestHistory.js';

/** Recognizes requests whose instance did not respond, responded with an error, or broke the connection. */
export class InstanceCauseRule extends causeRule.CauseRule {
  override findCause(log: requestHistory.RequestHistory): causeRule.Cause | undefined {
    const attempts = log.listFailedAttempts();
    const failed = attempts.find((line) => log.readText(line, 'ending') === 'answered');
    if (failed !== undefined && log.getOutcome() === 'answered') {
      return this.buildCause('failing-instance', log, failed, `returned the answer with status ${String(failed.fields['status'])}`);
    }
    const broken = log.listFailedAttemptsByEnding(['reset', 'broken'])[0];
    if (broken !== undefined) return this.buildCause('broken-connection', log, broken, 'closed the connection or sent an invalid answer');
    const unanswered = log.listFailedAttemptsByEnding(['cancelled']).find((line) => this.isInstanceUnresponsive(log, line));
    if (unanswered !== undefined) {
      const counts = log.countInstanceFailures(log.readText(unanswered, 'instance') ?? '');
      const slow = log.readNumber(unanswered, 'failure') < InstanceCauseRule.GRAY_FAILURE_PROBABILITY && counts.own + counts.others < InstanceCauseRule.GRAY_EPISODE_MIN_FAILURES;
      return this.buildCause(slow ? 'slow-instance' : 'silent-instance', log, unanswered, `did not answer within ${log.readNumber(unanswered, 'ageMs')} ms`);
    }
    return undefined;
  }

  // A cancelled attempt is no sign of an unresponsive instance if another attempt was answered shortly after it began, or if the caller
  // disconnected before an answer could be expected.
  private isInstanceUnresponsive(log: requestHistory.RequestHistory, attempt: logLine.LogLine): boolean {
    const ageMs = log.readNumber(attempt, 'ageMs');
    if (log.getOutcome() === 'answered') return ageMs > log.getElapsedMs() / 2;
    return log.getOutcome() !== 'abandoned' || ageMs >= InstanceCauseRule.NO_RESPONSE_LATENCY_FACTOR * (log.computeMedianLatencyMs() ?? 0);
  }

  private buildCause(
    name: causeRule.CauseName,
    log: requestHistory.RequestHistory,
    attempt: logLine.LogLine,
    text: string,
  ): causeRule.Cause {
    const instance = log.readText(attempt, 'instance') ?? '';
    const counts = log.countInstanceFailures(instance);
    return {
      name,
      text: `${instance} in ${log.readText(attempt, 'place') ?? ''} ${text}; ${counts.own} failed attempts in this process run within 10 s before or after the request ended, `
        + `${counts.others} in other runs at any time; estimated failure probability of the instance ${log.readNumber(attempt, 'failure')}`,
    };
  }

  // An attempt without an answer for this many times the median latency of its route indicates an unresponsive instance.
  private static readonly NO_RESPONSE_LATENCY_FACTOR = 2;

  // From this estimated failure probability on, a VM treats an instance as gray-failing.
  private static readonly GRAY_FAILURE_PROBABILITY = 0.4;

  // This many failed attempts at one instance indicate a gray-failure episode, even if the estimate of the VM was still low.
  private static readonly GRAY_EPISODE_MIN_FAILURES = 3;
}
