const MAX_SAMPLES = 256;

const MIN_SAMPLES = 24;

// Sorting again for each sample would cost more than the precision is worth.
const SORT_INTERVAL_SAMPLES = 16;

/** Latest durations of the answers of one route, over all instances. */
export class DurationSamples {
  private readonly samples = new Float64Array(MAX_SAMPLES);

  private sortedSamples = new Float64Array(0);

  private count = 0;

  private nextIndex = 0;

  private unsortedCount = 0;

  /** @param objectiveMs - Latency objective of the route, which stands in until enough answers are known. */
  constructor(private readonly objectiveMs: number) {}

  /**
   * Records the duration of a whole answer.
   * @param durationMs - Time from sending to the end of the answer, in milliseconds.
   */
  record(durationMs: number): void {
    this.samples[this.nextIndex] = durationMs;
    this.nextIndex = (this.nextIndex + 1) % MAX_SAMPLES;
    this.count = Math.min(MAX_SAMPLES, this.count + 1);
    this.unsortedCount += 1;
    if (this.unsortedCount < SORT_INTERVAL_SAMPLES) return;
    this.unsortedCount = 0;
    this.sortedSamples = this.samples.slice(0, this.count).sort();
  }

  /**
   * Estimates the share of answers that take longer than a time.
   * @param ageMs - Time since the request was sent, in milliseconds.
   */
  estimateSurvival(ageMs: number): number {
    if (this.sortedSamples.length < MIN_SAMPLES) return ageMs < this.objectiveMs / 2 ? 1 : 1 / MIN_SAMPLES;
    // Binary search for the first sample above the age.
    let low = 0;
    let high = this.sortedSamples.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.sortedSamples[middle]! > ageMs) high = middle;
      else low = middle + 1;
    }
    return (this.sortedSamples.length - low + 1) / (this.sortedSamples.length + 1);
  }

  /**
   * Estimates the duration that a share of the answers stays below, in milliseconds.
   * @param share - Share of the answers, from 0 to 1.
   */
  estimateQuantile(share: number): number {
    if (this.sortedSamples.length < MIN_SAMPLES) return this.objectiveMs * share * 0.5;
    return this.sortedSamples[Math.min(this.sortedSamples.length - 1, Math.floor(share * this.sortedSamples.length))]!;
  }
}
