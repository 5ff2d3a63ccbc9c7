/** Decides when a second attempt of a slow request is sent. */
export abstract class HedgePolicy {
  /**
   * Computes the delay of the second attempt in milliseconds; undefined sends none.
   * @param hedgeAfterMs - 95th percentile of the latency of the service.
   * @param remainingMs - Time until the deadline of the request.
   */
  abstract computeDelayMs(hedgeAfterMs: number, remainingMs: number): number | undefined;
}
