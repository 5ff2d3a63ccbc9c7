import * as causeRule from './CauseRule.js';
import type * as requestStory from './RequestStory.js';

/** Requests whose caller left, without another sign of trouble. */
export class CallerCause extends causeRule.CauseRule {
  override findCause(story: requestStory.RequestStory): causeRule.Cause | undefined {
    if (story.getOutcome() !== 'abandoned') return undefined;
    const usualMs = story.computeUsualMs();
    const usual = usualMs === undefined ? '' : `; answers of its route usually take ${usualMs} ms`;
    return { name: 'caller-left', text: `the caller left or its connection broke after ${story.getElapsedMs()} ms${usual}` };
  }
}
