import * as causeRule from './CauseRule.js';
import type * as logLine from './LogLine.js';
import type * as requestLog from './RequestLog.js';

/** Requests that an instance kept, failed or broke off. */
export class InstanceCauseRule extends causeRule.CauseRule {
  override findCause(story: requestLog.RequestLog): causeRule.Cause | undefined {
    const attempts = story.listFailedAttempts();
    const failed = attempts.find((line) => story.readText(line, 'ending') === 'answered');
    if (failed !== undefined && story.getOutcome() === 'answered') {
      return this.buildCause('failing-instance', story, failed, `answered ${String(failed.fields['status'])} itself`);
    }
    const broken = story.listFailedAttemptsByEnding(['reset', 'broken'])[0];
    if (broken !== undefined) return this.buildCause('broken-connection', story, broken, 'broke off or sent what is not the answer');
    const silent = story.listFailedAttemptsByEnding(['cancelled']).find((line) => this.isInstanceUnresponsive(story, line));
    if (silent !== undefined) {
      const counts = story.countInstanceFailures(story.readText(silent, 'instance') ?? '');
      const slow = story.readNumber(silent, 'failure') < InstanceCauseRule.GRAY_FAILURE_PROBABILITY && counts.own + counts.others < InstanceCauseRule.GRAY_EPISODE_MIN_FAILURES;
      return this.buildCause(slow ? 'slow-instance' : 'silent-instance', story, silent, `gave no answer for ${story.readNumber(silent, 'ageMs')} ms`);
    }
    return undefined;
  }

  // An attempt that another one overtook soon, or whose caller left sooner than answers take, says nothing of its instance.
  private isInstanceUnresponsive(story: requestLog.RequestLog, attempt: logLine.LogLine): boolean {
    const ageMs = story.readNumber(attempt, 'ageMs');
    if (story.getOutcome() === 'answered') return ageMs > story.getElapsedMs() / 2;
    return story.getOutcome() !== 'abandoned' || ageMs >= InstanceCauseRule.NO_RESPONSE_LATENCY_FACTOR * (story.computeMedianLatencyMs() ?? 0);
  }

  private buildCause(name: causeRule.CauseName, story: requestLog.RequestLog, attempt: logLine.LogLine, text: string): causeRule.Cause {
    const instance = story.readText(attempt, 'instance') ?? '';
    const counts = story.countInstanceFailures(instance);
    return {
      name,
      text: `${instance} in ${story.readText(attempt, 'place') ?? ''} ${text}; ${counts.own} failed attempts of this VM within 10 s, `
        + `${counts.others} of others, failure then estimated at ${story.readNumber(attempt, 'failure')}`,
    };
  }

  // A silence of this many usual times tells that an answer is missing.
  private static readonly NO_RESPONSE_LATENCY_FACTOR = 2;

  // Above this a VM takes an instance for gray.
  private static readonly GRAY_FAILURE_PROBABILITY = 0.4;

  // As many failed attempts at one instance are a gray spell, whatever the VM knew of it.
  private static readonly GRAY_EPISODE_MIN_FAILURES = 3;
}
