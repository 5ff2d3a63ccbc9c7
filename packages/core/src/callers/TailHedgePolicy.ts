import * as hedgePolicy from './HedgePolicy.js';

/** Sends the hedge at the 95th percentile of the latency, if at least the same time then remains until the deadline. */
export class TailHedgePolicy extends hedgePolicy.HedgePolicy {
  override computeDelayMs(hedgeAfterMs: number, remainingMs: number): number | undefined {
    return 2 * hedgeAfterMs <= remainingMs ? hedgeAfterMs : undefined;
  }
}
