/** How an instance serves one run. */
export interface RunEffect {
  /** Factor on the time for which the run holds its slot. */
  readonly slowBy: number;
  /**
   * - `whole`: complete answer to the request.
   * - `failed`: complete answer with a server error.
   * - `truncated`: the answer breaks off.
   * - `crossed`: answer to another request.
   * - `late`: the answer comes after the attempt has timed out.
   * - `silent`: no answer.
   */
  readonly answer: 'whole' | 'failed' | 'truncated' | 'crossed' | 'late' | 'silent';
}

/** Effect of a healthy instance. */
export const HEALTHY_EFFECT: RunEffect = { slowBy: 1, answer: 'whole' };

/** Way in which an instance serves badly while it passes health checks. */
export abstract class GrayMode {
  /**
   * Computes how one run is served.
   * @param nowMs - Virtual time in milliseconds.
   * @param fraction - Random number of at least 0 and below 1.
   */
  abstract computeEffect(nowMs: number, fraction: number): RunEffect;
}
