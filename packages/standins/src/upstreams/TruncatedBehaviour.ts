import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

/** Breaks off in the middle of the answer. */
export class TruncatedBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override answer(answer: standinAnswer.StandinAnswer): void {
    answer.sendHalf();
  }
}
