import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

/** Runs requests and never answers. */
export class SilentBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override answer(answer: standinAnswer.StandinAnswer): void {
    // The connection stays open, as that of a stuck process does.
    void answer;
  }
}
