import * as causeRule from './CauseRule.js';
import type * as logLine from './LogLine.js';
import type * as requestStory from './RequestStory.js';

/** Requests that an instance kept, failed or broke off. */
export class InstanceCause extends causeRule.CauseRule {
  override findCause(story: requestStory.RequestStory): causeRule.Cause | undefined {
    const attempts = story.listFailedAttempts();
    const failed = attempts.find((line) => story.readText(line, 'ending') === 'answered');
    if (failed !== undefined && story.getOutcome() === 'answered') {
      return this.buildCause('failing-instance', story, failed, `answered ${String(failed.fields['status'])} itself`);
    }
    const broken = story.listEnded(['reset', 'broken'])[0];
    if (broken !== undefined) return this.buildCause('broken-connection', story, broken, 'broke off or sent what is not the answer');
    const silent = story.listEnded(['cancelled']).find((line) => this.isSilent(story, line));
    if (silent !== undefined) {
      const counts = story.countFailures(story.readText(silent, 'instance') ?? '');
      const slow = story.readNumber(silent, 'failure') < InstanceCause.GRAY_FAILURE && counts.own + counts.others < InstanceCause.SPELL_FAILURES;
      return this.buildCause(slow ? 'slow-instance' : 'silent-instance', story, silent, `gave no answer for ${story.readNumber(silent, 'ageMs')} ms`);
    }
    return undefined;
  }

  // An attempt that another one overtook soon, or whose caller left sooner than answers take, says nothing of its instance.
  private isSilent(story: requestStory.RequestStory, attempt: logLine.LogLine): boolean {
    const ageMs = story.readNumber(attempt, 'ageMs');
    if (story.getOutcome() === 'answered') return ageMs > story.getElapsedMs() / 2;
    return story.getOutcome() !== 'abandoned' || ageMs >= InstanceCause.SILENCE_FACTOR * (story.computeUsualMs() ?? 0);
  }

  private buildCause(name: causeRule.CauseName, story: requestStory.RequestStory, attempt: logLine.LogLine, text: string): causeRule.Cause {
    const instance = story.readText(attempt, 'instance') ?? '';
    const counts = story.countFailures(instance);
    return {
      name,
      text: `${instance} in ${story.readText(attempt, 'place') ?? ''} ${text}; ${counts.own} failed attempts of this VM within 10 s, `
        + `${counts.others} of others, failure then estimated at ${story.readNumber(attempt, 'failure')}`,
    };
  }

  // A silence of this many usual times tells that an answer is missing.
  private static readonly SILENCE_FACTOR = 2;

  // Above this a VM takes an instance for gray.
  private static readonly GRAY_FAILURE = 0.4;

  // As many failed attempts at one instance are a gray spell, whatever the VM knew of it.
  private static readonly SPELL_FAILURES = 3;
}
