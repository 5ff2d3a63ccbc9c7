import type * as instanceEvidence from './InstanceEvidence.js';

// Weaker beliefs change no decision of another VM.
const MIN_REPORTED_DEVIATION = 1.5;

// A belief is told again when it has changed by this much, or after this time while it is strong.
const MIN_DEVIATION_CHANGE = 0.7;
const RESEND_INTERVAL_MS = 2_000;

interface ReportedEvidence {
  readonly evidence: instanceEvidence.InstanceEvidence;
  readonly atMs: number;
}

/** Decides what other VMs are told of instances: doubts, and changes of the load that this VM puts on them. */
export class EvidenceGossip {
  private readonly reported = new Map<string, ReportedEvidence>();

  /** Whether other VMs still count requests or doubts that they were told of. */
  hasReported(): boolean {
    return this.reported.size > 0;
  }

  /**
   * Selects the rows to tell now.
   * @param rows - What this VM knows of all instances.
   * @param nowMs - Present time.
   */
  selectEvidence(rows: readonly instanceEvidence.InstanceEvidence[], nowMs: number): instanceEvidence.InstanceEvidence[] {
    const selected = rows.filter((evidence) => this.shouldReport(evidence, nowMs));
    selected.forEach((evidence) => {
      if (EvidenceGossip.isRelevant(evidence)) this.reported.set(evidence.instance, { evidence, atMs: nowMs });
      else this.reported.delete(evidence.instance);
    });
    return selected;
  }

  private shouldReport(evidence: instanceEvidence.InstanceEvidence, nowMs: number): boolean {
    const last = this.reported.get(evidence.instance);
    if (last === undefined) return EvidenceGossip.isRelevant(evidence);
    if (
      last.evidence.inFlight !== evidence.inFlight
      || Math.abs(last.evidence.deviation - evidence.deviation) >= MIN_DEVIATION_CHANGE
    ) return true;
    return EvidenceGossip.isRelevant(evidence) && nowMs - last.atMs >= RESEND_INTERVAL_MS;
  }

  private static isRelevant(evidence: instanceEvidence.InstanceEvidence): boolean {
    return evidence.inFlight > 0 || evidence.deviation >= MIN_REPORTED_DEVIATION;
  }
}
