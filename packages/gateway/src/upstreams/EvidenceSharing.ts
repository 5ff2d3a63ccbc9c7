import type * as evidenceRow from './EvidenceRow.js';

// Weaker beliefs change no decision of another VM.
const MIN_TOLD_DEVIATION = 1.5;

// A belief is told again when it has changed by this much, or after this time while it is strong.
const MIN_CHANGE = 0.7;
const REPEAT_MS = 2_000;

interface ToldRow {
  readonly deviation: number;
  readonly atMs: number;
}

/** Decides which beliefs about instances are worth telling other VMs. */
export class EvidenceSharing {
  private readonly told = new Map<string, ToldRow>();

  /**
   * Selects the beliefs to tell now.
   * @param rows - All beliefs of this VM.
   * @param nowMs - Present time.
   */
  selectRows(rows: readonly evidenceRow.EvidenceRow[], nowMs: number): evidenceRow.EvidenceRow[] {
    const selected = rows.filter((row) => this.shouldTell(row, nowMs));
    selected.forEach((row) => {
      if (row.deviation < MIN_TOLD_DEVIATION) this.told.delete(row.instance);
      else this.told.set(row.instance, { deviation: row.deviation, atMs: nowMs });
    });
    return selected;
  }

  private shouldTell(row: evidenceRow.EvidenceRow, nowMs: number): boolean {
    const last = this.told.get(row.instance);
    if (last === undefined) return row.deviation >= MIN_TOLD_DEVIATION;
    if (Math.abs(last.deviation - row.deviation) >= MIN_CHANGE) return true;
    return row.deviation >= MIN_TOLD_DEVIATION && nowMs - last.atMs >= REPEAT_MS;
  }
}
