import type * as servicePool from '../upstreams/ServicePool.js';

// Until it has waited for this share of the latency objective, a request keeps waiting rather than being sent to an instance that
// probably fails.
const MAX_NORMAL_SHARE = 0.1;

// After it has waited for this share, a request may be queued at an instance whose slots are full, behind other queued requests. If no
// instance can queue it, it is refused, so that no request waits even longer in the VM only to be refused then.
const MAX_URGENT_SHARE = 0.35;

/** Computes how urgent a waiting request is. The urgency decides which instances are acceptable for the request. */
export class UrgencyPolicy {
  /**
   * Computes the urgency of a request.
   * @param waitedMs - Time since its arrival, in milliseconds.
   * @param objectiveMs - Latency objective of its route, in milliseconds.
   */
  static computeUrgency(waitedMs: number, objectiveMs: number): servicePool.RequestUrgency {
    const waitedShare = waitedMs / objectiveMs;
    if (waitedShare < MAX_NORMAL_SHARE) return 'normal';
    return waitedShare < MAX_URGENT_SHARE ? 'urgent' : 'critical';
  }

  /**
   * Computes the time until a waiting request is critical, in milliseconds.
   * @param waitedMs - Time since its arrival, in milliseconds.
   * @param objectiveMs - Latency objective of its route, in milliseconds.
   */
  static computeMsUntilCritical(waitedMs: number, objectiveMs: number): number {
    return MAX_URGENT_SHARE * objectiveMs - waitedMs;
  }
}
