import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

/** Answers completely in the service time. */
export class PromptBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override answer(answer: standinAnswer.StandinAnswer): void {
    answer.send(200, answer.content);
  }
}
