/** Options of `SlackRetries`. */
export interface SlackRetriesOptions {
  /** Most retries in any window. */
  readonly most: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/**
 * Allows a number of retries in any window, however few requests there are. The number grows over the first window in which a VM gets
 * requests, so that VMs which start or take over add little to what all VMs are allowed together.
 */
export class SlackRetries {
  private sentAtMs: readonly number[] = [];

  private firstRequestMs: number | undefined;

  private latestRequestMs = -Infinity;

  /** @param options - Limits. */
  constructor(private options: SlackRetriesOptions) {}

  /**
   * Applies changed limits.
   * @param options - Limits.
   */
  applyOptions(options: SlackRetriesOptions): void {
    this.options = options;
  }

  /**
   * Records a request.
   * @param nowMs - Current time.
   */
  addRequest(nowMs: number): void {
    if (this.firstRequestMs === undefined || nowMs - this.latestRequestMs > this.options.windowMs) this.firstRequestMs = nowMs;
    this.latestRequestMs = nowMs;
  }

  /**
   * Consumes one retry. Returns false, and consumes nothing, if it is not allowed.
   * @param nowMs - Current time.
   */
  take(nowMs: number): boolean {
    const { most, windowMs } = this.options;
    if (this.firstRequestMs === undefined) return false;
    this.sentAtMs = this.sentAtMs.filter((atMs) => atMs > nowMs - windowMs);
    const allowed = most * Math.min(1, (nowMs - this.firstRequestMs) / windowMs);
    if (this.sentAtMs.length + 1 > allowed) return false;
    this.sentAtMs = [...this.sentAtMs, nowMs];
    return true;
  }
}
