import type * as route from '../contracts/Route.js';
import type * as placementPolicy from '../upstreams/PlacementPolicy.js';

// Requests are counted in buckets of this width, over about two seconds.
const BUCKET_MS = 500;
const BUCKETS = 4;

// A service counts as served poorly if its share of requests without a successful answer is above this value by more than the given part of
// its standard error. Most of the sound instances must receive requests if the share is above a tenth, in all VMs together.
const POOR_SHARES: Readonly<Record<route.RequestKind, number>> = { idempotent: 0.035, 'non-idempotent': 0.07 };

const STANDARD_ERRORS = 0.5;

// VMs send their outcomes several times a second; those of a VM that has not done so for this time are ignored.
const PEER_LIFETIME_MS = 1_500;

// While idempotent requests arrive at least this often, only they try instances that may have recovered, since they can be retried.
const IDEMPOTENT_SPAN_MS = 1_000;

/** Outcomes of the recent requests of one VM for one service, as it sends them to the other VMs. */
export interface ServiceOutcome extends OutcomeSummary {
  readonly service: string;
}

interface PeerOutcome {
  readonly summary: OutcomeSummary;
  readonly atMs: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  unserved: number;
}

/** Numbers of the recent requests of one VM for a service. */
export interface OutcomeSummary {
  readonly requests: number;
  /** Requests that were refused or ended without a successful answer. */
  readonly unserved: number;
}

/**
 * Outcomes of the recent requests for one service, of this VM and as the other VMs reported theirs. A VM that judges by its own requests
 * alone has too few of them to notice a share of a tenth.
 */
export class ServiceOutcomes {
  private buckets: Bucket[] = [];

  private readonly peers = new Map<string, PeerOutcome>();

  private latestIdempotentAtMs = -Infinity;

  /**
   * Records that a request has arrived.
   * @param kind - Kind of the request.
   * @param nowMs - Current time.
   */
  recordArrival(kind: route.RequestKind, nowMs: number): void {
    if (kind === 'idempotent') this.latestIdempotentAtMs = nowMs;
  }

  /**
   * Records the outcome of a request.
   * @param outcome - `unserved`: refused, or ended without a successful answer.
   * @param nowMs - Current time.
   */
  record(outcome: 'served' | 'unserved', nowMs: number): void {
    const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    const latest = this.buckets[this.buckets.length - 1];
    const bucket = latest?.startMs === startMs ? latest : { startMs, requests: 0, unserved: 0 };
    if (bucket !== latest) this.buckets = [...this.buckets.slice(1 - BUCKETS), bucket];
    bucket.requests += 1;
    if (outcome === 'unserved') bucket.unserved += 1;
  }

  /**
   * Records the outcomes that another VM has reported, in place of its earlier ones.
   * @param peer - Name of the other VM.
   * @param summary - Numbers of its recent requests.
   * @param nowMs - Current time.
   */
  recordPeer(peer: string, summary: OutcomeSummary, nowMs: number): void {
    this.peers.set(peer, { summary, atMs: nowMs });
  }

  /**
   * Determines how well the service is served, as far as it matters for requests of one kind.
   * @param kind - Kind of the request to be placed.
   * @param nowMs - Current time.
   */
  evaluateCondition(kind: route.RequestKind, nowMs: number): placementPolicy.ServiceCondition {
    if (kind === 'non-idempotent' && nowMs - this.latestIdempotentAtMs < IDEMPOTENT_SPAN_MS) return 'good';
    const { requests, unserved } = this.summarizeAll(nowMs);
    return unserved > 0 && unserved - STANDARD_ERRORS * Math.sqrt(unserved) >= requests * POOR_SHARES[kind] ? 'poor' : 'good';
  }

  /**
   * Counts the requests of all VMs that ended in the last two seconds, as far as this VM knows.
   * @param nowMs - Current time.
   */
  summarizeAll(nowMs: number): OutcomeSummary {
    const own = this.summarize(nowMs);
    let { requests, unserved } = own;
    // Without intermediate arrays, since this runs for each request.
    this.peers.forEach(({ summary, atMs }, peer) => {
      if (nowMs - atMs > PEER_LIFETIME_MS) {
        this.peers.delete(peer);
        return;
      }
      requests += summary.requests;
      unserved += summary.unserved;
    });
    return { requests, unserved };
  }

  /**
   * Counts the requests of this VM that ended in the last two seconds.
   * @param nowMs - Current time.
   */
  summarize(nowMs: number): OutcomeSummary {
    let requests = 0;
    let unserved = 0;
    // Without intermediate arrays, since this runs for each request.
    this.buckets.forEach((bucket) => {
      if (bucket.startMs <= nowMs - BUCKETS * BUCKET_MS) return;
      requests += bucket.requests;
      unserved += bucket.unserved;
    });
    return { requests, unserved };
  }
}
