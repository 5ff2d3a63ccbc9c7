const MAX_SAMPLES = 256;

const MIN_SAMPLES = 24;

// Sorting after each sample would cost more than the additional precision is worth.
const SORT_INTERVAL_SAMPLES = 16;

/** Durations of the latest answers of one route, from all instances. */
export class DurationSamples {
  private readonly samples = new Float64Array(MAX_SAMPLES);

  private sortedSamples = new Float64Array(0);

  private count = 0;

  private nextIndex = 0;

  private unsortedCount = 0;

  /** @param objectiveMs - Latency objective of the route, from which estimates are derived until enough durations are recorded. */
  constructor(private readonly objectiveMs: number) {}

  /**
   * Records the duration of a complete answer.
   * @param durationMs - Time from sending the request to receiving the end of the answer, in milliseconds.
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
   * Estimates the share of answers that take longer than a given time.
   * @param ageMs - Time since the request was sent, in milliseconds.
   */
  estimateSurvival(ageMs: number): number {
    // Until there are enough samples, nearly all answers are assumed to take half of the objective.
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
   * Estimates a quantile of the answer durations, in milliseconds.
   * @param share - Share of the answers that take at most the returned time, from 0 to 1.
   */
  estimateQuantile(share: number): number {
    if (this.sortedSamples.length < MIN_SAMPLES) return this.objectiveMs * share * 0.5;
    return this.sortedSamples[Math.min(this.sortedSamples.length - 1, Math.floor(share * this.sortedSamples.length))]!;
  }
}
