/** Decides when a hedge (second concurrent attempt) of a slow request is sent. */
export abstract class HedgePolicy {
  /**
   * Computes the delay of the hedge after the first attempt, in milliseconds; undefined for no hedge.
   * @param hedgeAfterMs - 95th percentile of the latency of the service, in milliseconds.
   * @param remainingMs - Time until the deadline of the request, in milliseconds.
   */
  abstract computeDelayMs(hedgeAfterMs: number, remainingMs: number): number | undefined;
}
