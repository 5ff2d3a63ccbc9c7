import type * as instanceEvidence from './InstanceEvidence.js';

// Smallest deviation from the prior log odds of a gray failure that is sent; a smaller one does not change any decision of another VM.
const MIN_REPORTED_DEVIATION = 1.2;

// Evidence is sent again when its deviation has changed by this much, and otherwise at this interval while it is relevant.
const MIN_DEVIATION_CHANGE = 0.7;
const RESEND_INTERVAL_MS = 2_000;

// The number of requests sent to an instance with a limit is sent again at this interval, so that a lost message does not leave it unknown.
const LIMIT_RESEND_INTERVAL_MS = 500;

interface ReportedEvidence {
  readonly evidence: instanceEvidence.InstanceEvidence;
  readonly atMs: number;
}

/** Selects the evidence that is sent to the other VMs: likely gray failures, and changes of the number of requests in flight. */
export class EvidenceGossip {
  private readonly reported = new Map<string, ReportedEvidence>();

  /**
   * Whether the other VMs still hold relevant evidence from this VM about an instance, so that it must be kept up to date.
   * @param instance - Id of the instance.
   */
  hasReported(instance: string): boolean {
    return this.reported.has(instance);
  }

  /**
   * Selects the evidence to send now.
   * @param rows - Evidence from the requests of this VM only, about all instances that it has used.
   * @param nowMs - Current time.
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
      || last.evidence.limit?.perSecond !== evidence.limit?.perSecond
      || last.evidence.limit?.sent !== evidence.limit?.sent
    ) return true;
    const intervalMs = evidence.limit === undefined ? RESEND_INTERVAL_MS : LIMIT_RESEND_INTERVAL_MS;
    return EvidenceGossip.isRelevant(evidence) && nowMs - last.atMs >= intervalMs;
  }

  private static isRelevant(evidence: instanceEvidence.InstanceEvidence): boolean {
    return evidence.inFlight > 0 || evidence.deviation >= MIN_REPORTED_DEVIATION || evidence.limit !== undefined;
  }
}
