const ERROR_WEIGHT = 0.2;

// A report says little about the load of other VMs after a few service times.
const REPORT_LIFETIME_MS = 2_000;

/** Load that other VMs put on an instance, from its load reports, discounted by how badly earlier reports predicted later ones. */
export class LoadEstimate {
  private otherVmsLoad = 0;

  private reportedAtMs = -Infinity;

  // Moving average of the absolute prediction error, in slots.
  private error = 0;

  /**
   * Records a load report.
   * @param load - Slots in use as reported.
   * @param ownInFlight - Attempts of this VM at the instance when the report was made.
   * @param nowMs - Current time, in milliseconds.
   */
  record(load: number, ownInFlight: number, nowMs: number): void {
    const otherVmsLoad = Math.max(0, load - ownInFlight);
    if (this.reportedAtMs !== -Infinity) this.error += ERROR_WEIGHT * (Math.abs(otherVmsLoad - this.otherVmsLoad) - this.error);
    this.otherVmsLoad = otherVmsLoad;
    this.reportedAtMs = nowMs;
  }

  /**
   * Estimates the slots that other VMs use now.
   * @param nowMs - Current time, in milliseconds.
   */
  estimate(nowMs: number): number {
    const ageMs = nowMs - this.reportedAtMs;
    return ageMs >= REPORT_LIFETIME_MS ? 0 : (this.otherVmsLoad / (1 + this.error)) * (1 - ageMs / REPORT_LIFETIME_MS);
  }
}
