const CAPACITY = 256;

const MINIMUM_SAMPLES = 24;

// Sorting again for each sample would cost more than the precision is worth.
const REFRESH_EVERY_SAMPLES = 16;

/** Latest durations of the answers of one route, over all instances. */
export class DurationSamples {
  private readonly samples = new Float64Array(CAPACITY);

  private sorted = new Float64Array(0);

  private count = 0;

  private next = 0;

  private fresh = 0;

  /** @param objectiveMs - Latency objective of the route, which stands in until enough answers are known. */
  constructor(private readonly objectiveMs: number) {}

  /**
   * Records the duration of a whole answer.
   * @param durationMs - Time from sending to the end of the answer, in milliseconds.
   */
  record(durationMs: number): void {
    this.samples[this.next] = durationMs;
    this.next = (this.next + 1) % CAPACITY;
    this.count = Math.min(CAPACITY, this.count + 1);
    this.fresh += 1;
    if (this.fresh < REFRESH_EVERY_SAMPLES) return;
    this.fresh = 0;
    this.sorted = this.samples.slice(0, this.count).sort();
  }

  /**
   * Estimates the share of answers that take longer than a time.
   * @param ageMs - Time since the request was sent, in milliseconds.
   */
  estimateSurvival(ageMs: number): number {
    if (this.sorted.length < MINIMUM_SAMPLES) return ageMs < this.objectiveMs / 2 ? 1 : 1 / MINIMUM_SAMPLES;
    // Binary search for the first sample above the age.
    let low = 0;
    let high = this.sorted.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.sorted[middle]! > ageMs) high = middle;
      else low = middle + 1;
    }
    return (this.sorted.length - low + 1) / (this.sorted.length + 1);
  }

  /**
   * Estimates the duration that a share of the answers stays below, in milliseconds.
   * @param share - Share of the answers, from 0 to 1.
   */
  estimateQuantile(share: number): number {
    if (this.sorted.length < MINIMUM_SAMPLES) return this.objectiveMs * share * 0.5;
    return this.sorted[Math.min(this.sorted.length - 1, Math.floor(share * this.sorted.length))]!;
  }
}
