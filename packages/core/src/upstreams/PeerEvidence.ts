import type * as evidenceRow from './EvidenceRow.js';
import type * as poolBaseline from './PoolBaseline.js';

const LIFETIME_MS = 4_000;

// One VM must not outvote the others by its traffic.
const ATTEMPTS_MAX = 60;

const EXCLUDE_WORST_MIN_REPLIES = 3;

const LOG_RATIO_MIN = -4;

const LOG_RATIO_MAX = 8;

const AGREES_LOG_RATIO = 3;

// 14 good attempts and no bad one; fewer are common at an instance that fails one attempt in five.
const CONTRADICTS_LOG_RATIO = -3;

const PLACE_AGREES_LOG_RATIO = 1;

const PLACE_AGREES_BAD_MIN = 2;

/** What the other VMs of the fronting set say about one instance. */
export interface PeerAssessment {
  /** VMs that replied. */
  readonly replies: number;
  /** Log likelihood ratio of their counts for a gray instance, bounded. */
  readonly logRatio: number;
  readonly verdict: 'agrees' | 'contradicts' | 'unclear';
  /** Whether the VMs of another place than this one find the instance bad as well. */
  readonly otherPlaces: 'agrees' | 'contradicts' | 'silent';
}

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

/** Evidence that peers reported, by instance. */
export class PeerEvidence {
  private readonly byInstance = new Map<string, Map<string, PeerCounts>>();

  /** @param place - Place of this VM. */
  constructor(private readonly place: string) {}

  /**
   * Records the counts of one peer.
   * @param from - Name of the peer.
   * @param place - Place of the peer.
   * @param rows - Its counts.
   * @param nowMs - Current time, in milliseconds.
   */
  record(from: string, place: string, rows: readonly evidenceRow.EvidenceRow[], nowMs: number): void {
    rows.forEach((row) => {
      const reports = this.byInstance.get(row.instance) ?? new Map<string, PeerCounts>();
      const scale = Math.min(1, ATTEMPTS_MAX / Math.max(1, row.good + row.bad));
      reports.set(from, {
        from, place, incarnation: row.incarnation, good: row.good * scale, bad: row.bad * scale, atMs: nowMs,
      });
      this.byInstance.set(row.instance, reports);
    });
  }

  /**
   * Removes old reports.
   * @param nowMs - Current time, in milliseconds.
   */
  expire(nowMs: number): void {
    this.byInstance.forEach((reports, name) => {
      reports.forEach((report, from) => {
        if (nowMs - report.atMs >= LIFETIME_MS) reports.delete(from);
      });
      if (reports.size === 0) this.byInstance.delete(name);
    });
  }

  /**
   * Merges the reports about one incarnation of an instance.
   * @param name - Name of the instance.
   * @param incarnation - Incarnation of the instance.
   * @param baseline - Error rates of the pool.
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

  // With enough replies the worst one is left out, so that one VM with a bad network cannot decide.
  private listWithoutWorst(reports: readonly PeerCounts[]): readonly PeerCounts[] {
    if (reports.length < EXCLUDE_WORST_MIN_REPLIES) return reports;
    const worst = reports.reduce((left, right) => (right.bad > left.bad ? right : left));
    return reports.filter((report) => report !== worst);
  }
}
