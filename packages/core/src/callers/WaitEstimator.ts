const SMOOTHING_FACTOR = 0.1;

/** Estimates how long a request will wait for a saturated service and how long it will then take. */
export class WaitEstimator {
  private intervalMs = 0;

  private latencyMs = 0;

  private lastDispatchAtMs: number | undefined;

  /**
   * Records that a request left the queue. The time until the next one counts only if others wait.
   * @param nowMs - Monotonic time in milliseconds.
   * @param waiting - Number of requests that still wait.
   */
  recordDispatch(nowMs: number, waiting: number): void {
    if (this.lastDispatchAtMs !== undefined) this.intervalMs += SMOOTHING_FACTOR * (nowMs - this.lastDispatchAtMs - this.intervalMs);
    this.lastDispatchAtMs = waiting > 0 ? nowMs : undefined;
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
   * @param requestsAhead - Number of requests that are served before it.
   */
  estimateTotalMs(requestsAhead: number): number {
    return requestsAhead * this.intervalMs + this.latencyMs;
  }
}
