import type * as vmHeartbeat from './VmHeartbeat.js';

/** Another VM, as far as this one knows it. */
export class PeerVm {
  private sequence = -1;

  private constructor(private told: Omit<vmHeartbeat.PeerDigest, 'ageMs'>, private heardAtMs: number) {}

  /**
   * Creates a VM from what another tells of it.
   * @param mention - What was told.
   * @param nowMs - Present time.
   */
  static fromDigest(mention: vmHeartbeat.PeerDigest, nowMs: number): PeerVm {
    const { ageMs, ...told } = mention;
    return new PeerVm(told, nowMs - ageMs);
  }

  /**
   * Takes a heartbeat of the VM itself. Older ones of the same run have no effect.
   * @param heartbeat - Heartbeat.
   * @param nowMs - Present time.
   */
  applyHeartbeat(heartbeat: vmHeartbeat.VmHeartbeat, nowMs: number): void {
    if (heartbeat.incarnation === this.told.incarnation && heartbeat.sequence <= this.sequence) return;
    const {
      name, host, place, incarnation, state, capacity,
    } = heartbeat;
    this.told = {
      name, host, place, incarnation, state, capacity,
    };
    this.sequence = heartbeat.sequence;
    this.heardAtMs = nowMs;
  }

  /**
   * Takes what another VM tells of it, if that is newer than what is known.
   * @param mention - What was told.
   * @param nowMs - Present time.
   */
  applyDigest(mention: vmHeartbeat.PeerDigest, nowMs: number): void {
    const heardAtMs = nowMs - mention.ageMs;
    if (heardAtMs <= this.heardAtMs || mention.incarnation === this.told.incarnation) return;
    const { ageMs, ...told } = mention;
    this.told = told;
    this.heardAtMs = nowMs - ageMs;
    this.sequence = -1;
  }

  /** Gets what it told last. */
  getLastReport(): Omit<vmHeartbeat.PeerDigest, 'ageMs'> {
    return this.told;
  }

  /**
   * Computes the time since it was heard, in milliseconds.
   * @param nowMs - Present time.
   */
  computeReportAgeMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /**
   * Builds what this VM tells of it.
   * @param nowMs - Present time.
   */
  buildDigest(nowMs: number): vmHeartbeat.PeerDigest {
    return { ...this.told, ageMs: Math.round(this.computeReportAgeMs(nowMs)) };
  }
}
