import * as hedgePolicy from './HedgePolicy.js';

/** Sends a second attempt after the 95th percentile if the deadline leaves as much time again. */
export class TailHedgePolicy extends hedgePolicy.HedgePolicy {
  override computeDelayMs(hedgeAfterMs: number, remainingMs: number): number | undefined {
    return 2 * hedgeAfterMs <= remainingMs ? hedgeAfterMs : undefined;
  }
}
