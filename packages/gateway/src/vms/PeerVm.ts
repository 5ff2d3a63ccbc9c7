import type * as vmHeartbeat from './VmHeartbeat.js';

/** Another VM, as far as this one knows it. */
export class PeerVm {
  private sequence = -1;

  private constructor(private report: Omit<vmHeartbeat.PeerDigest, 'ageMs'>, private reportedAtMs: number) {}

  /**
   * Creates a VM from what another tells of it.
   * @param mention - What was told.
   * @param nowMs - Present time.
   */
  static fromDigest(digest: vmHeartbeat.PeerDigest, nowMs: number): PeerVm {
    const { ageMs, ...report } = digest;
    return new PeerVm(report, nowMs - ageMs);
  }

  /**
   * Takes a heartbeat of the VM itself. Older ones of the same run have no effect.
   * @param heartbeat - Heartbeat.
   * @param nowMs - Present time.
   */
  applyHeartbeat(heartbeat: vmHeartbeat.VmHeartbeat, nowMs: number): void {
    if (heartbeat.incarnation === this.report.incarnation && heartbeat.sequence <= this.sequence) return;
    const {
      name, host, place, incarnation, state, capacity,
    } = heartbeat;
    this.report = {
      name, host, place, incarnation, state, capacity,
    };
    this.sequence = heartbeat.sequence;
    this.reportedAtMs = nowMs;
  }

  /**
   * Takes what another VM tells of it, if that is newer than what is known.
   * @param mention - What was told.
   * @param nowMs - Present time.
   */
  applyDigest(digest: vmHeartbeat.PeerDigest, nowMs: number): void {
    const reportedAtMs = nowMs - digest.ageMs;
    if (reportedAtMs <= this.reportedAtMs || digest.incarnation === this.report.incarnation) return;
    const { ageMs, ...report } = digest;
    this.report = report;
    this.reportedAtMs = nowMs - ageMs;
    this.sequence = -1;
  }

  /** Gets what it told last. */
  getLastReport(): Omit<vmHeartbeat.PeerDigest, 'ageMs'> {
    return this.report;
  }

  /**
   * Computes the time since it was heard, in milliseconds.
   * @param nowMs - Present time.
   */
  computeReportAgeMs(nowMs: number): number {
    return nowMs - this.reportedAtMs;
  }

  /**
   * Builds what this VM tells of it.
   * @param nowMs - Present time.
   */
  buildDigest(nowMs: number): vmHeartbeat.PeerDigest {
    return { ...this.report, ageMs: Math.round(this.computeReportAgeMs(nowMs)) };
  }
}
