const ERROR_WEIGHT = 0.2;

// A load report is outdated after a few service times.
const REPORT_LIFETIME_MS = 2_000;

/**
 * Estimate of the slots of an instance that other VMs use, from its load reports. The worse earlier reports predicted the next one, the
 * lower is the estimate.
 */
export class LoadEstimate {
  // Slots in use by other VMs at the time of the last report.
  private otherVmsLoad = 0;

  private reportedAtMs = -Infinity;

  // Moving average of the absolute prediction error, in slots.
  private error = 0;

  /**
   * Records a load report.
   * @param load - Slots in use as reported by the instance.
   * @param ownInFlight - Attempts of this VM in flight at the instance when the report was made.
   * @param nowMs - Current time, in milliseconds.
   */
  record(load: number, ownInFlight: number, nowMs: number): void {
    const reportedOtherLoad = Math.max(0, load - ownInFlight);
    if (this.reportedAtMs !== -Infinity) this.error += ERROR_WEIGHT * (Math.abs(reportedOtherLoad - this.otherVmsLoad) - this.error);
    this.otherVmsLoad = reportedOtherLoad;
    this.reportedAtMs = nowMs;
  }

  /**
   * Estimates the slots that other VMs use now; the estimate falls linearly to 0 with the age of the last report.
   * @param nowMs - Current time, in milliseconds.
   */
  estimate(nowMs: number): number {
    const ageMs = nowMs - this.reportedAtMs;
    return ageMs >= REPORT_LIFETIME_MS ? 0 : (this.otherVmsLoad / (1 + this.error)) * (1 - ageMs / REPORT_LIFETIME_MS);
  }
}
