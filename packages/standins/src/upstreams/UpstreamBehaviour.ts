import type * as standinAnswer from './StandinAnswer.js';

/** How an instance treats the requests that it runs. */
export abstract class UpstreamBehaviour {
  /**
   * Computes the time until a request has run.
   * @param serviceTimeMs - Time of a healthy instance.
   */
  computeRunMs(serviceTimeMs: number): number {
    return serviceTimeMs;
  }

  /** Gets the time between the run and the answer. */
  getAnswerDelayMs(): number {
    return 0;
  }

  /**
   * Answers a request that was run.
   * @param answer - Answer with its right content.
   */
  abstract answer(answer: standinAnswer.StandinAnswer): void;
}
