const CAPACITY = 512;

const SAMPLES_MIN = 50;

const HEDGE_QUANTILE = 0.95;

/** Ring buffer of the latest latencies of a service, from which the delay before a hedge (second, concurrent) attempt is computed. */
export class LatencySamples {
  private readonly samples = new Float64Array(CAPACITY);

  private count = 0;

  private nextIndex = 0;

  private hedgeDelayState: 'current' | 'changed' = 'current';

  private hedgeDelayMs = Infinity;

  /**
   * Records the latency of an answer.
   * @param latencyMs - Latency, in milliseconds.
   */
  record(latencyMs: number): void {
    this.samples[this.nextIndex] = latencyMs;
    this.nextIndex = (this.nextIndex + 1) % CAPACITY;
    if (this.count < CAPACITY) this.count += 1;
    this.hedgeDelayState = 'changed';
    // Computes the delay as soon as there are 50 samples; otherwise no hedge attempt would be sent until the next periodic update.
    if (this.count === SAMPLES_MIN) this.update();
  }

  /** Computes the hedge delay again if there are new samples. */
  update(): void {
    if (this.hedgeDelayState === 'current' || this.count < SAMPLES_MIN) return;
    this.hedgeDelayState = 'current';
    const sorted = this.samples.slice(0, this.count).sort();
    this.hedgeDelayMs = sorted[Math.min(this.count - 1, Math.floor(HEDGE_QUANTILE * this.count))]!;
  }

  /** Gets the delay before a hedge attempt: the 95th percentile of the latencies, in milliseconds; Infinity with fewer than 50 samples. */
  getHedgeAfterMs(): number {
    return this.hedgeDelayMs;
  }
}
