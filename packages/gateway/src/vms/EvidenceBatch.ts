import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';

// Interval at which evidence is sent to other places: traffic between places is charged, and the VMs of a place mostly use its own
// instances.
const INTERVAL_MS = 250;

// Evidence of a likely gray failure is sent at once, so that no VM of another place finds the failure again by losing a request.
const URGENT_DEVIATION = 1.2;

/** Collects evidence for the VMs of other places, with the latest evidence about each instance only. */
export class EvidenceBatch {
  private readonly pending = new Map<string, instanceEvidence.InstanceEvidence>();

  private sentAtMs = -Infinity;

  /**
   * Adds evidence. Returns the evidence to send now; empty if it is to be sent later.
   * @param rows - New evidence from the requests of this VM.
   * @param nowMs - Current time.
   */
  add(rows: readonly instanceEvidence.InstanceEvidence[], nowMs: number): readonly instanceEvidence.InstanceEvidence[] {
    rows.forEach((row) => this.pending.set(row.instance, row));
    return rows.some((row) => EvidenceBatch.isUrgent(row)) ? this.takeAll(nowMs) : this.takeDue(nowMs);
  }

  /**
   * Whether evidence shows a likely gray failure.
   * @param row - Evidence.
   */
  static isUrgent(row: instanceEvidence.InstanceEvidence): boolean {
    return row.deviation >= URGENT_DEVIATION;
  }

  /**
   * Returns the evidence to send now, if the interval has passed.
   * @param nowMs - Current time.
   */
  takeDue(nowMs: number): readonly instanceEvidence.InstanceEvidence[] {
    return nowMs - this.sentAtMs < INTERVAL_MS ? [] : this.takeAll(nowMs);
  }

  private takeAll(nowMs: number): readonly instanceEvidence.InstanceEvidence[] {
    const rows = [...this.pending.values()];
    this.pending.clear();
    if (rows.length > 0) this.sentAtMs = nowMs;
    return rows;
  }
}
