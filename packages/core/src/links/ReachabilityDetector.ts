const SUSPECT_AFTER_EXCHANGES = 3;

// Reports of third peers take a round trip and up to two ticks; a slower one must not come too late.
const REPORT_WAIT_MS = 4_000;

const INDIRECT_PROBE_PERIOD_MS = 5_000;

// A one-way cut keeps the peer silent here while others reach it; their reports hold until the next ones must have come.
const REACHED_REPORT_VALIDITY_MS = 20_000;

const RETRY_MS = 1_000;
const MAX_RETRY_MS = 16_000;

/** Decides whether a peer is reachable, from its own answers and from what other peers report about it. */
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

  /** Whether an exchange is outstanding. */
  isAwaitingReply(): boolean {
    return this.unansweredRequests > 0;
  }

  /**
   * Whether the peer may be asked now. Silent peers are asked at a falling rate.
   * @param nowMs - Present time in milliseconds.
   */
  isRequestDue(nowMs: number): boolean {
    return nowMs >= this.nextRequestMs;
  }

  /**
   * Records that an exchange was sent to the peer.
   * @param nowMs - Present time in milliseconds.
   */
  recordRequest(nowMs: number): void {
    this.unansweredRequests += 1;
    const doublings = Math.min(16, Math.max(0, this.unansweredRequests - SUSPECT_AFTER_EXCHANGES));
    // Half a period less than the tick, so that the tick of a peer that is due is not missed by a rounding error.
    this.nextRequestMs = nowMs + Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** doublings) - RETRY_MS / 2;
  }

  /** Records that a valid message of the peer arrived. */
  recordMessage(): void {
    this.state = 'reachable';
    this.resetCounts();
    this.nextRequestMs = -Infinity;
  }

  /** Forgets open questions after a pause of this VM, whose answers may have been lost on its own side. */
  resetCounts(): void {
    this.unansweredRequests = 0;
    this.noResponseReports = 0;
    if (this.state === 'suspected') this.state = 'reachable';
  }

  /**
   * Records the report of a third peer.
   * @param result - Whether the third peer reached the peer.
   * @param nowMs - Present time in milliseconds.
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
   * @param nowMs - Present time in milliseconds.
   * @returns Whether third peers are to be asked now.
   */
  evaluate(nowMs: number): 'probe-indirectly' | 'none' {
    if (this.unansweredRequests < SUSPECT_AFTER_EXCHANGES) return 'none';
    if (this.state === 'reachable' && nowMs - this.lastReachedReportMs > REACHED_REPORT_VALIDITY_MS) {
      this.state = 'suspected';
      this.suspectedMs = nowMs;
      this.noResponseReports = 0;
      this.nextIndirectProbeMs = nowMs;
    }
    // Without any report this VM may itself be the one that is cut off, so the peer stays suspected only.
    if (this.state === 'suspected' && this.noResponseReports > 0 && nowMs - this.suspectedMs >= REPORT_WAIT_MS) this.state = 'unreachable';
    if (nowMs < this.nextIndirectProbeMs) return 'none';
    this.nextIndirectProbeMs = nowMs + INDIRECT_PROBE_PERIOD_MS * (this.state === 'unreachable' ? 6 : 1);
    return 'probe-indirectly';
  }
}
