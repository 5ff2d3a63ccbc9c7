import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

const PHASE_REQUESTS = 20;

/** Changes between whole answers and server errors after every few requests. */
export class FlappingBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  private answered = 0;

  override answer(answer: standinAnswer.StandinAnswer): void {
    const phase = Math.floor(this.answered / PHASE_REQUESTS) % 2;
    this.answered += 1;
    answer.send(phase === 0 ? 200 : 500, answer.content);
  }
}
