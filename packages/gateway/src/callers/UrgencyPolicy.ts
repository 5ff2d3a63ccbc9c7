import type * as servicePool from '../upstreams/ServicePool.js';

// Until it has waited for this share of the latency objective, a request keeps waiting rather than being sent to an instance that
// probably fails.
const MAX_NORMAL_SHARE = 0.1;

// After it has waited for this share of the objective and for the given share of its whole time, a request may be queued at an instance
// whose slots are full, behind other queued requests. If no instance can queue it, it is refused, so that no request waits even longer in
// the VM only to be refused then. With a deadline of twice the objective both are equal. With deadlines far beyond the objective, refusing
// by the objective alone loses requests that can still be served (`KIND_BURST`, `TENANT_BURST`).
const MAX_OBJECTIVE_SHARE = 0.35;
const MAX_DEADLINE_SHARE = 0.175;

/** Computes how urgent a waiting request is. The urgency decides which instances are acceptable for the request. */
export class UrgencyPolicy {
  /**
   * Computes the urgency of a request.
   * @param waitedMs - Time since its arrival, in milliseconds.
   * @param objectiveMs - Latency objective of its route, in milliseconds.
   * @param deadlineMs - Time from its arrival to its deadline, in milliseconds.
   */
  static computeUrgency(waitedMs: number, objectiveMs: number, deadlineMs: number): servicePool.RequestUrgency {
    if (waitedMs / objectiveMs < MAX_NORMAL_SHARE) return 'normal';
    return waitedMs < UrgencyPolicy.computeMaxHoldMs(objectiveMs, deadlineMs) ? 'urgent' : 'critical';
  }

  /**
   * Computes the time for which a request waits before it is critical, in milliseconds.
   * @param objectiveMs - Latency objective of its route, in milliseconds.
   * @param deadlineMs - Time from its arrival to its deadline, in milliseconds.
   */
  static computeMaxHoldMs(objectiveMs: number, deadlineMs: number): number {
    return Math.max(MAX_OBJECTIVE_SHARE * objectiveMs, MAX_DEADLINE_SHARE * deadlineMs);
  }
}
