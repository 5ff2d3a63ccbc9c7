const WINDOW_MS = 1_000;

/** Rate at which attempts of this VM at one service ended, and thus released their slots, during the last second. */
export class SlotReleaseRate {
  private readonly endTimesMs: number[] = [];

  /**
   * Records the end of an attempt.
   * @param nowMs - Current time.
   */
  record(nowMs: number): void {
    this.prune(nowMs);
    this.endTimesMs.push(nowMs);
  }

  /**
   * Estimates the average interval between ended attempts, in milliseconds. Undefined if fewer than two ended in the last second.
   * @param nowMs - Current time.
   */
  estimateIntervalMs(nowMs: number): number | undefined {
    this.prune(nowMs);
    return this.endTimesMs.length < 2 ? undefined : WINDOW_MS / this.endTimesMs.length;
  }

  private prune(nowMs: number): void {
    while (this.endTimesMs[0] !== undefined && this.endTimesMs[0] <= nowMs - WINDOW_MS) this.endTimesMs.shift();
  }
}
