const CAPACITY = 512;

const MINIMUM_SAMPLES = 50;

const HEDGE_QUANTILE = 0.95;

/** Latest latencies of a service, for the time after which a request is hedged. */
export class LatencySamples {
  private readonly samples = new Float64Array(CAPACITY);

  private count = 0;

  private next = 0;

  private state: 'current' | 'changed' = 'current';

  private hedgeAfterMs = Infinity;

  /**
   * Records the latency of an answer.
   * @param latencyMs - Latency, in milliseconds.
   */
  record(latencyMs: number): void {
    this.samples[this.next] = latencyMs;
    this.next = (this.next + 1) % CAPACITY;
    if (this.count < CAPACITY) this.count += 1;
    this.state = 'changed';
    // Without this the first requests after the fiftieth answer would wait for a tick.
    if (this.count === MINIMUM_SAMPLES) this.update();
  }

  /** Computes the quantile again if there are new samples. */
  update(): void {
    if (this.state === 'current' || this.count < MINIMUM_SAMPLES) return;
    this.state = 'current';
    const sorted = this.samples.slice(0, this.count).sort();
    this.hedgeAfterMs = sorted[Math.min(this.count - 1, Math.floor(HEDGE_QUANTILE * this.count))]!;
  }

  /** Gets the 95th percentile in milliseconds, Infinity with fewer than 50 samples. */
  getHedgeAfterMs(): number {
    return this.hedgeAfterMs;
  }
}
