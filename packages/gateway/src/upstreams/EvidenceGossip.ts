import type * as instanceEvidence from './InstanceEvidence.js';

// Weaker beliefs change no decision of another VM.
const MIN_TOLD_DEVIATION = 1.5;

// A belief is told again when it has changed by this much, or after this time while it is strong.
const MIN_CHANGE = 0.7;
const REPEAT_MS = 2_000;

interface ToldRow {
  readonly row: instanceEvidence.InstanceEvidence;
  readonly atMs: number;
}

/** Decides what other VMs are told of instances: doubts, and changes of the load that this VM puts on them. */
export class EvidenceGossip {
  private readonly told = new Map<string, ToldRow>();

  /** Whether other VMs still count requests or doubts that they were told of. */
  hasReported(): boolean {
    return this.told.size > 0;
  }

  /**
   * Selects the rows to tell now.
   * @param rows - What this VM knows of all instances.
   * @param nowMs - Present time.
   */
  selectEvidence(rows: readonly instanceEvidence.InstanceEvidence[], nowMs: number): instanceEvidence.InstanceEvidence[] {
    const selected = rows.filter((row) => this.shouldTell(row, nowMs));
    selected.forEach((row) => {
      if (EvidenceGossip.isNotable(row)) this.told.set(row.instance, { row, atMs: nowMs });
      else this.told.delete(row.instance);
    });
    return selected;
  }

  private shouldTell(row: instanceEvidence.InstanceEvidence, nowMs: number): boolean {
    const last = this.told.get(row.instance);
    if (last === undefined) return EvidenceGossip.isNotable(row);
    if (last.row.inFlight !== row.inFlight || Math.abs(last.row.deviation - row.deviation) >= MIN_CHANGE) return true;
    return EvidenceGossip.isNotable(row) && nowMs - last.atMs >= REPEAT_MS;
  }

  private static isNotable(row: instanceEvidence.InstanceEvidence): boolean {
    return row.inFlight > 0 || row.deviation >= MIN_TOLD_DEVIATION;
  }
}
