import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

/** Runs requests and closes their connections. */
export class ResettingBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override answer(answer: standinAnswer.StandinAnswer): void {
    answer.close();
  }
}
