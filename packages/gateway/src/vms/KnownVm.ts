import type * as vmHeartbeat from './VmHeartbeat.js';

/** Another VM, as far as this one knows it. */
export class KnownVm {
  private sequence = -1;

  private constructor(private told: Omit<vmHeartbeat.VmMention, 'ageMs'>, private heardAtMs: number) {}

  /**
   * Creates a VM from what another tells of it.
   * @param mention - What was told.
   * @param nowMs - Present time.
   */
  static fromMention(mention: vmHeartbeat.VmMention, nowMs: number): KnownVm {
    const { ageMs, ...told } = mention;
    return new KnownVm(told, nowMs - ageMs);
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
  applyMention(mention: vmHeartbeat.VmMention, nowMs: number): void {
    const heardAtMs = nowMs - mention.ageMs;
    if (heardAtMs <= this.heardAtMs || mention.incarnation === this.told.incarnation) return;
    const { ageMs, ...told } = mention;
    this.told = told;
    this.heardAtMs = nowMs - ageMs;
    this.sequence = -1;
  }

  /** Gets what it told last. */
  getTold(): Omit<vmHeartbeat.VmMention, 'ageMs'> {
    return this.told;
  }

  /**
   * Computes the time since it was heard, in milliseconds.
   * @param nowMs - Present time.
   */
  computeSilenceMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /**
   * Builds what this VM tells of it.
   * @param nowMs - Present time.
   */
  buildMention(nowMs: number): vmHeartbeat.VmMention {
    return { ...this.told, ageMs: Math.round(this.computeSilenceMs(nowMs)) };
  }
}
