import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

const ANSWER_DELAY_MS = 3_000;

/** Runs in time and answers seconds later. */
export class LateBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override getAnswerDelayMs(): number {
    return ANSWER_DELAY_MS;
  }

  override answer(answer: standinAnswer.StandinAnswer): void {
    answer.send(200, answer.content);
  }
}
