import type * as evidenceRow from './EvidenceRow.js';
import type * as poolBaseline from './PoolBaseline.js';

// Older reports are ignored.
const LIFETIME_MS = 4_000;

// Counts of more attempts are scaled down to this number, so that a VM with much traffic does not outweigh the others.
const ATTEMPTS_MAX = 60;

const EXCLUDE_WORST_MIN_REPLIES = 3;

const LOG_RATIO_MIN = -4;

const LOG_RATIO_MAX = 8;

const AGREES_LOG_RATIO = 3;

// Reached by 14 good attempts without a bad one. Fewer good attempts in a row are common at an instance that fails one in five.
const CONTRADICTS_LOG_RATIO = -3;

const PLACE_AGREES_LOG_RATIO = 1;

const PLACE_AGREES_BAD_MIN = 2;

/** Combined evidence about one instance from the other VMs of the fronting set, the VMs that callers of the service are sent to. */
export interface PeerAssessment {
  /** Number of VMs that reported counts. */
  readonly replies: number;
  /** Log likelihood ratio of the reported counts, bounded: positive if they are more likely with a gray failure of the instance. */
  readonly logRatio: number;
  /** Whether the peers together find the instance bad (`agrees`) or good (`contradicts`). */
  readonly verdict: 'agrees' | 'contradicts' | 'unclear';
  /** The same, from the VMs of any single place other than the place of this VM; `silent` if there is no clear evidence from there. */
  readonly otherPlaces: 'agrees' | 'contradicts' | 'silent';
}

// Counts of attempts at one incarnation of an instance, as one peer reported them.
interface PeerCounts {
  readonly from: string;
  readonly place: string;
  readonly incarnation: string;
  readonly good: number;
  readonly bad: number;
  readonly atMs: number;
}

const NO_EVIDENCE: PeerAssessment = {
  replies: 0, logRatio: 0, verdict: 'unclear', otherPlaces: 'silent',
};

/** Recent counts that peers reported about the instances of one service. */
export class PeerEvidence {
  // Latest report of each peer by its name, by the name of the instance.
  private readonly byInstance = new Map<string, Map<string, PeerCounts>>();

  /** @param place - Place of this VM. */
  constructor(private readonly place: string) {}

  /**
   * Records the counts that one peer reported.
   * @param peerName - Name of the peer.
   * @param place - Place of the peer.
   * @param rows - Reported counts.
   * @param nowMs - Current time, in milliseconds.
   */
  record(peerName: string, place: string, rows: readonly evidenceRow.EvidenceRow[], nowMs: number): void {
    rows.forEach((row) => {
      const reports = this.byInstance.get(row.instance) ?? new Map<string, PeerCounts>();
      const scale = Math.min(1, ATTEMPTS_MAX / Math.max(1, row.good + row.bad));
      reports.set(peerName, {
        from: peerName, place, incarnation: row.incarnation, good: row.good * scale, bad: row.bad * scale, atMs: nowMs,
      });
      this.byInstance.set(row.instance, reports);
    });
  }

  /**
   * Removes reports that have exceeded their lifetime.
   * @param nowMs - Current time, in milliseconds.
   */
  expire(nowMs: number): void {
    this.byInstance.forEach((reports, name) => {
      reports.forEach((report, peerName) => {
        if (nowMs - report.atMs >= LIFETIME_MS) reports.delete(peerName);
      });
      if (reports.size === 0) this.byInstance.delete(name);
    });
  }

  /**
   * Combines the reports of all peers about one incarnation of an instance.
   * @param name - Name of the instance.
   * @param incarnation - Incarnation of the instance.
   * @param ratios - Log likelihood ratios from the error rates of the pool.
   */
  merge(name: string, incarnation: string, ratios: poolBaseline.LikelihoodRatios): PeerAssessment {
    const reports = [...this.byInstance.get(name)?.values() ?? []].filter((report) => report.incarnation === incarnation);
    if (reports.length === 0) return NO_EVIDENCE;
    const kept = this.listWithoutWorst(reports);
    const sum = this.sumLogRatio(kept, ratios);
    const ratio = Math.min(LOG_RATIO_MAX, Math.max(LOG_RATIO_MIN, sum));
    let verdict: PeerAssessment['verdict'] = ratio >= AGREES_LOG_RATIO ? 'agrees' : 'unclear';
    if (ratio <= CONTRADICTS_LOG_RATIO) verdict = 'contradicts';
    return {
      replies: reports.length, logRatio: ratio, verdict, otherPlaces: this.compareOtherPlaces(kept, ratios),
    };
  }

  private compareOtherPlaces(reports: readonly PeerCounts[], ratios: poolBaseline.LikelihoodRatios): PeerAssessment['otherPlaces'] {
    const places = [...new Set(reports.map((report) => report.place))].filter((place) => place !== this.place)
      .map((place) => reports.filter((report) => report.place === place));
    const agrees = places.some((each) => this.sumLogRatio(each, ratios) >= PLACE_AGREES_LOG_RATIO
      && each.reduce((sum, report) => sum + report.bad, 0) >= PLACE_AGREES_BAD_MIN);
    if (agrees) return 'agrees';
    return places.some((each) => this.sumLogRatio(each, ratios) <= CONTRADICTS_LOG_RATIO) ? 'contradicts' : 'silent';
  }

  private sumLogRatio(reports: readonly PeerCounts[], ratios: poolBaseline.LikelihoodRatios): number {
    return reports.reduce((sum, report) => sum + report.bad * ratios.badLogRatio + report.good * ratios.goodLogRatio, 0);
  }

  // With enough replies, the report with the most bad attempts is left out, so that one VM with a faulty network cannot decide alone.
  private listWithoutWorst(reports: readonly PeerCounts[]): readonly PeerCounts[] {
    if (reports.length < EXCLUDE_WORST_MIN_REPLIES) return reports;
    const worst = reports.reduce((left, right) => (right.bad > left.bad ? right : left));
    return reports.filter((report) => report !== worst);
  }
}
