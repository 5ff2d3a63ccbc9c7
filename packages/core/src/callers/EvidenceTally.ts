import type * as evidenceMessage from './EvidenceMessage.js';
import type * as latencyHistogram from './LatencyHistogram.js';

/** Request counts and latencies of one member, service and kind, since the start of the VM or since a flush. */
export class EvidenceTally {
  private requests = 0;

  private answeredOnTime = 0;

  private answeredLate = 0;

  private notRun = 0;

  private unknown = 0;

  /** @param histogram - Empty histogram for the latencies. */
  constructor(readonly histogram: latencyHistogram.LatencyHistogram) {}

  /**
   * Adds a request that has ended.
   * @param ended - How the request ended.
   */
  addRequest(ended: Extract<evidenceMessage.EvidenceMessage, { type: 'request-ended' }>): void {
    this.requests += 1;
    if (ended.outcome === 'not-run') this.notRun += 1;
    else if (ended.outcome === 'unknown') this.unknown += 1;
    else if (ended.latencyMs <= ended.kind.onTimeMs) this.answeredOnTime += 1;
    else this.answeredLate += 1;
    this.histogram.recordLatency(ended.latencyMs);
  }

  /**
   * Builds the counts for a flush or a report.
   * @param names - Member, service and kind that the counts belong to.
   */
  toCount(names: Pick<evidenceMessage.EvidenceCount, 'member' | 'service' | 'kind'>): evidenceMessage.EvidenceCount {
    return {
      member: names.member,
      service: names.service,
      kind: names.kind,
      requests: this.requests,
      answeredOnTime: this.answeredOnTime,
      answeredLate: this.answeredLate,
      notRun: this.notRun,
      unknown: this.unknown,
      latencyMs: this.histogram.computeQuantiles(),
    };
  }
}
