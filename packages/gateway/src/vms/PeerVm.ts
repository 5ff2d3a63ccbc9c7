import type * as vmHeartbeat from './VmHeartbeat.js';

// A digest of a lost VM shows that it is back if it is newer by this than the report after which it was lost. Digests state ages, which
// grow too little by the delay of each datagram.
const RETURN_MARGIN_MS = 1_000;

/** Another VM, as described by its latest heartbeat or by a digest from a third VM. */
export class PeerVm {
  // Sequence number of the latest heartbeat of the incarnation; -1 until one was received after the record was created.
  private sequence = -1;

  // Time of the latest report when the VM was lost. Undefined if it has reported since.
  private lostReportAtMs: number | undefined;

  private constructor(private report: Omit<vmHeartbeat.PeerDigest, 'ageMs'>, private reportedAtMs: number) {}

  /**
   * Creates the record of a VM from a digest.
   * @param digest - Digest as received.
   * @param nowMs - Current time.
   */
  static fromDigest(digest: vmHeartbeat.PeerDigest, nowMs: number): PeerVm {
    const { ageMs, ...report } = digest;
    return new PeerVm(report, nowMs - ageMs);
  }

  /**
   * Applies a heartbeat of the VM itself. It is ignored if it is older than the latest one of the same incarnation.
   * @param heartbeat - Heartbeat as received.
   * @param nowMs - Current time.
   */
  applyHeartbeat(heartbeat: vmHeartbeat.VmHeartbeat, nowMs: number): void {
    if (heartbeat.incarnation === this.report.incarnation && heartbeat.sequence <= this.sequence) return;
    const {
      name, host, place, incarnation, state, capacity, linkCapacityMbps, load, demand,
    } = heartbeat;
    this.report = {
      name, host, place, incarnation, state, capacity, linkCapacityMbps, load, demand,
    };
    this.sequence = heartbeat.sequence;
    this.lostReportAtMs = undefined;
    this.reportedAtMs = nowMs;
  }

  /**
   * Applies a digest from a third VM if it is newer than the latest report.
   * @param digest - Digest as received.
   * @param nowMs - Current time.
   */
  applyDigest(digest: vmHeartbeat.PeerDigest, nowMs: number): void {
    const { ageMs, ...report } = digest;
    const reportedAtMs = nowMs - ageMs;
    if (reportedAtMs <= this.reportedAtMs) return;
    if (report.incarnation !== this.report.incarnation) this.sequence = -1;
    const isBack = reportedAtMs >= (this.lostReportAtMs ?? 0) + RETURN_MARGIN_MS;
    if (isBack || report.incarnation !== this.report.incarnation) this.lostReportAtMs = undefined;
    this.report = report;
    this.reportedAtMs = reportedAtMs;
  }

  /** Gets the latest report from or about the VM. */
  getLastReport(): Omit<vmHeartbeat.PeerDigest, 'ageMs'> {
    return this.report;
  }

  /**
   * Computes the age of the latest report, in milliseconds.
   * @param nowMs - Current time.
   */
  computeReportAgeMs(nowMs: number): number {
    return nowMs - this.reportedAtMs;
  }

  /** Marks the VM as lost until there is a new report of it. */
  markLost(): void {
    this.lostReportAtMs ??= this.reportedAtMs;
  }

  /** Whether the VM was lost and has not reported since. */
  isLost(): boolean {
    return this.lostReportAtMs !== undefined;
  }

  /**
   * Builds the digest of the VM that is sent to other VMs.
   * @param nowMs - Current time.
   */
  buildDigest(nowMs: number): vmHeartbeat.PeerDigest {
    return { ...this.report, ageMs: Math.round(this.computeReportAgeMs(nowMs)) };
  }
}
