const SUSPECT_AFTER_REQUESTS = 3;

// Minimum time in the state `suspected`. The result of an indirect probe takes a round trip and up to two ticks, and may be slower.
const MIN_SUSPECTED_MS = 4_000;

const INDIRECT_PROBE_PERIOD_MS = 5_000;

// If a link fails in one direction, this VM gets no response while other VMs reach the peer. Their report `reached` is valid for
// this time, in which the next report arrives.
const REACHED_REPORT_VALIDITY_MS = 20_000;

const RETRY_MS = 1_000;
const MAX_RETRY_MS = 16_000;

/** Failure detector for one peer. It uses the messages that arrive from the peer and the reports of other VMs about it. */
export class ReachabilityDetector {
  private state: 'reachable' | 'suspected' | 'unreachable' = 'reachable';

  private unansweredRequests = 0;

  private nextRequestMs = -Infinity;

  private nextIndirectProbeMs = -Infinity;

  private suspectedMs = Infinity;

  private lastReachedReportMs = -Infinity;

  private noResponseReports = 0;

  /** Gets the state of the peer. */
  getState(): 'reachable' | 'suspected' | 'unreachable' {
    return this.state;
  }

  /** Whether the reply to an exchange request is outstanding. */
  isAwaitingReply(): boolean {
    return this.unansweredRequests > 0;
  }

  /**
   * Whether an exchange may be requested now. The interval between requests grows while the peer does not respond.
   * @param nowMs - Current time in milliseconds.
   */
  isRequestDue(nowMs: number): boolean {
    return nowMs >= this.nextRequestMs;
  }

  /**
   * Records that an exchange request was sent to the peer.
   * @param nowMs - Current time in milliseconds.
   */
  recordRequest(nowMs: number): void {
    this.unansweredRequests += 1;
    const doublings = Math.min(16, Math.max(0, this.unansweredRequests - SUSPECT_AFTER_REQUESTS));
    // Half a retry period early, so that a rounding error does not delay a due request to the next tick.
    this.nextRequestMs = nowMs + Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** doublings) - RETRY_MS / 2;
  }

  /** Records that a valid message of the peer has arrived. */
  recordMessage(): void {
    this.state = 'reachable';
    this.resetCounts();
    this.nextRequestMs = -Infinity;
  }

  /** Resets the counts of unanswered requests after a pause of this VM, in which the replies may have been lost. */
  resetCounts(): void {
    this.unansweredRequests = 0;
    this.noResponseReports = 0;
    if (this.state === 'suspected') this.state = 'reachable';
  }

  /**
   * Records the report of another VM about the peer.
   * @param result - Whether the other VM reached the peer.
   * @param nowMs - Current time in milliseconds.
   */
  recordReport(result: 'reached' | 'silent', nowMs: number): void {
    if (result === 'silent') {
      this.noResponseReports += 1;
      return;
    }
    this.lastReachedReportMs = nowMs;
    this.noResponseReports = 0;
    this.state = 'reachable';
  }

  /**
   * Updates the state. Called once per tick.
   * @param nowMs - Current time in milliseconds.
   * @returns `probe-indirectly` if other VMs are to be requested to probe the peer now.
   */
  evaluate(nowMs: number): 'probe-indirectly' | 'none' {
    if (this.unansweredRequests < SUSPECT_AFTER_REQUESTS) return 'none';
    if (this.state === 'reachable' && nowMs - this.lastReachedReportMs > REACHED_REPORT_VALIDITY_MS) {
      this.state = 'suspected';
      this.suspectedMs = nowMs;
      this.noResponseReports = 0;
      this.nextIndirectProbeMs = nowMs;
    }
    // Without any report, this VM itself may be isolated, so the peer stays suspected.
    if (this.state === 'suspected' && this.noResponseReports > 0 && nowMs - this.suspectedMs >= MIN_SUSPECTED_MS) this.state = 'unreachable';
    if (nowMs < this.nextIndirectProbeMs) return 'none';
    this.nextIndirectProbeMs = nowMs + INDIRECT_PROBE_PERIOD_MS * (this.state === 'unreachable' ? 6 : 1);
    return 'probe-indirectly';
  }
}
