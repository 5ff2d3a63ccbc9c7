/** Counts calls and finds the greatest number in one second. */
export class CallMeter {
  private total = 0;

  private second = 0;

  private inSecond = 0;

  private peak = 0;

  /**
   * Counts one call.
   * @param nowMs - Present time.
   */
  record(nowMs: number): void {
    const second = Math.floor(nowMs / 1_000);
    if (second !== this.second) this.inSecond = 0;
    this.second = second;
    this.inSecond += 1;
    this.total += 1;
    this.peak = Math.max(this.peak, this.inSecond);
  }

  /** Gets the number of all calls and the greatest number in one second. */
  getCounts(): { readonly total: number; readonly peakPerSecond: number } {
    return { total: this.total, peakPerSecond: this.peak };
  }
}
