import type * as servicePool from '../upstreams/ServicePool.js';

// Share of the latency objective for which a request waits for a better instance than a doubtful one.
const MAX_NORMAL_SHARE = 0.1;

// Share after which it rather waits at an instance than in the VM, and is refused if no instance has room for that: nobody
// is held for longer and then refused.
const MAX_URGENT_SHARE = 0.35;

/** Decides what a request that waits makes do with. */
export class UrgencyPolicy {
  /**
   * Computes the patience of a request.
   * @param waitedMs - Time since its arrival, in milliseconds.
   * @param objectiveMs - Latency objective of its route, in milliseconds.
   */
  static computeUrgency(waitedMs: number, objectiveMs: number): servicePool.RequestUrgency {
    const waitedShare = waitedMs / objectiveMs;
    if (waitedShare < MAX_NORMAL_SHARE) return 'normal';
    return waitedShare < MAX_URGENT_SHARE ? 'urgent' : 'critical';
  }
}
