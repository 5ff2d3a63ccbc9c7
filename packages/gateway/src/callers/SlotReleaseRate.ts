const WINDOW_MS = 1_000;

/** Measures how fast a VM gets free slots of a service: the attempts that ended lately. */
export class SlotReleaseRate {
  private readonly endedAtMs: number[] = [];

  /**
   * Counts the end of an attempt.
   * @param nowMs - Present time.
   */
  record(nowMs: number): void {
    this.prune(nowMs);
    this.endedAtMs.push(nowMs);
  }

  /**
   * Estimates the time between two free slots, in milliseconds. Undefined if too few attempts ended lately.
   * @param nowMs - Present time.
   */
  estimateIntervalMs(nowMs: number): number | undefined {
    this.prune(nowMs);
    return this.endedAtMs.length < 2 ? undefined : WINDOW_MS / this.endedAtMs.length;
  }

  private prune(nowMs: number): void {
    while (this.endedAtMs[0] !== undefined && this.endedAtMs[0] <= nowMs - WINDOW_MS) this.endedAtMs.shift();
  }
}
