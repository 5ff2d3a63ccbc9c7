// Time for which a VM counts as slow after it was slowed down.
const MIN_SLOW_MS = 2_000;

// A slow VM gets no callers and then recovers, whether or not it can serve callers again. If it becomes slow again within the given time,
// it counts as slow for twice as long, so that callers are not sent to it every few seconds.
const RELAPSE_MS = 30_000;
const MAX_SLOW_MS = 16_000;

/**
 * Decides for how long a VM counts as slow. Load pattern: VMs that are slowed down for tens of seconds, in time with the callers that are
 * sent to them.
 */
export class SlowState {
  private spanMs = MIN_SLOW_MS;

  private endsAtMs = -Infinity;

  /**
   * Records that the VM is slowed down.
   * @param nowMs - Current time.
   */
  record(nowMs: number): void {
    if (!this.isSlow(nowMs)) {
      this.spanMs = nowMs - this.endsAtMs <= RELAPSE_MS ? Math.min(MAX_SLOW_MS, 2 * this.spanMs) : MIN_SLOW_MS;
    }
    this.endsAtMs = nowMs + this.spanMs;
  }

  /**
   * Whether the VM counts as slow.
   * @param nowMs - Current time.
   */
  isSlow(nowMs: number): boolean {
    return nowMs < this.endsAtMs;
  }
}
