// Weight of the newest value in the exponential moving averages.
const SMOOTHING_FACTOR = 0.1;

/** Estimates the time to the answer of a request to a saturated service: the time in the queue plus the latency. */
export class WaitEstimator {
  private intervalMs = 0;

  private latencyMs = 0;

  private lastDispatchAtMs: number | undefined;

  /**
   * Records that a request left the queue. The interval to the next dispatch is measured only if other requests are queued.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param queued - Number of requests that remain in the queue.
   */
  recordDispatch(nowMs: number, queued: number): void {
    if (this.lastDispatchAtMs !== undefined) this.intervalMs += SMOOTHING_FACTOR * (nowMs - this.lastDispatchAtMs - this.intervalMs);
    this.lastDispatchAtMs = queued > 0 ? nowMs : undefined;
  }

  /**
   * Records the latency of an answer.
   * @param latencyMs - Time from sending to the answer, in milliseconds.
   */
  recordLatency(latencyMs: number): void {
    this.latencyMs += SMOOTHING_FACTOR * (latencyMs - this.latencyMs);
  }

  /**
   * Estimates the time until the answer of a request, in milliseconds.
   * @param requestsAhead - Number of requests that are sent before it.
   */
  estimateTotalMs(requestsAhead: number): number {
    return requestsAhead * this.intervalMs + this.latencyMs;
  }
}
