/**
 * Divides the slack of the retry budget among the VMs of a place that callers are sent to. Half of the share of a place is for those that
 * were sent callers for a whole window of the budget; they divide it by the largest number of such VMs in the window. The other half is for
 * VMs that were added within the window, of which there are at most `extra`. The sum stays within the share of the place however often
 * the number of VMs changes. Load pattern: a burst during which VMs are added one after the other while retries are in demand.
 */
export class FrontBudget {
  // Numbers of VMs within the window, with the times until which they held; the last one holds now.
  private readonly counts: { count: number; untilMs: number }[] = [];

  private frontSinceMs: number | undefined;

  /**
   * @param least - Number of VMs of a place that callers are sent to also without load.
   * @param extra - Largest number of VMs in addition to these.
   * @param windowMs - Length of the window of the budget, in milliseconds.
   */
  constructor(private readonly least: number, private readonly extra: number, private windowMs: number) {}

  /**
   * Changes the length of the window.
   * @param windowMs - Length, in milliseconds.
   */
  setWindow(windowMs: number): void {
    this.windowMs = windowMs;
  }

  /**
   * Records the VMs that callers are sent to now. Returns the number by which half of the share of the place is to be divided.
   * @param count - Number of VMs of the place that callers are sent to.
   * @param standing - Whether this VM is one of them.
   * @param nowMs - Current time.
   */
  record(count: number, standing: 'front' | 'other', nowMs: number): number {
    const last = this.counts.at(-1);
    if (last !== undefined) last.untilMs = nowMs;
    if (last?.count !== count) this.counts.push({ count, untilMs: nowMs });
    while (this.counts[0] !== undefined && this.counts[0].untilMs < nowMs - this.windowMs) this.counts.shift();
    this.frontSinceMs = standing === 'front' ? this.frontSinceMs ?? nowMs : undefined;
    const largest = Math.max(this.least, ...this.counts.map((interval) => interval.count));
    if (largest === this.least) return this.least;
    const isEstablished = this.frontSinceMs !== undefined && nowMs - this.frontSinceMs >= this.windowMs;
    return isEstablished ? largest : Math.max(largest, this.extra);
  }
}
