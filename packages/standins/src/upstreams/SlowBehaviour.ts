import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

const FACTOR = 10;
const LEAST_RUN_MS = 200;

/** Takes many times the service time. */
export class SlowBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override computeRunMs(serviceTimeMs: number): number {
    return Math.max(LEAST_RUN_MS, serviceTimeMs * FACTOR);
  }

  override answer(answer: standinAnswer.StandinAnswer): void {
    answer.send(200, answer.content);
  }
}
