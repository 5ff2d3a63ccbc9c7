import type * as route from '../contracts/Route.js';
import type * as placementPolicy from '../upstreams/PlacementPolicy.js';

// Requests are counted in buckets of this width, over about two seconds.
const BUCKET_MS = 500;
const BUCKETS = 4;

// A service counts as served poorly if its share of requests without a successful answer is above this value by more than its standard
// error. Most of the sound instances must receive requests if the share is above a tenth, in all VMs together.
const POOR_SHARES: Readonly<Record<route.RequestKind, number>> = { idempotent: 0.035, 'non-idempotent': 0.07 };

// While idempotent requests arrive at least this often, only they try instances that may have recovered, since they can be retried.
const IDEMPOTENT_SPAN_MS = 1_000;

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

/** Outcomes of the recent requests for one service, as far as this VM routed them. */
export class ServiceOutcomes {
  private buckets: Bucket[] = [];

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
   * Determines how well the service is served, as far as it matters for requests of one kind.
   * @param kind - Kind of the request to be placed.
   * @param nowMs - Current time.
   */
  evaluateCondition(kind: route.RequestKind, nowMs: number): placementPolicy.ServiceCondition {
    if (kind === 'non-idempotent' && nowMs - this.latestIdempotentAtMs < IDEMPOTENT_SPAN_MS) return 'good';
    const { requests, unserved } = this.summarize(nowMs);
    return unserved > 0 && unserved - Math.sqrt(unserved) >= requests * POOR_SHARES[kind] ? 'poor' : 'good';
  }

  /**
   * Counts the requests that ended in the last two seconds.
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
