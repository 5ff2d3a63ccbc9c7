/** Load of a service at the time at which a request finds no free slot. */
export interface ServiceLoad {
  /** Number of slots of all instances that accept new requests, as far as the limits of the instances permit to fill them. */
  readonly slots: number;
  /** Number of waiting requests that are served before this one. */
  readonly requestsAhead: number;
  /** Average interval at which ended attempts of this VM release slots, in milliseconds; undefined if too few attempts ended. */
  readonly slotReleaseIntervalMs: number | undefined;
  /** Typical time that a request occupies a slot, in milliseconds. */
  readonly serviceMs: number;
}

// Other VMs send requests to the same instances. Until this VM has measured how often its attempts release a slot, it assumes that it
// can use this share of the slots.
const ASSUMED_SLOT_SHARE = 0.5;

// A refused caller that retries immediately would find the same queue.
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 3_000;

// Callers wait for at most this share of their remaining time before they come back, so that a longer time would not be kept, and many
// callers would come back at the same moment (`TWO_TENANT_BURST`).
const MAX_REMAINING_SHARE = 1 / 3;

/** Decides whether a request that finds no free slot may wait, and after which time a refused caller should retry. */
export class AdmissionPolicy {
  /**
   * Estimates the time until a slot is free for the request, in milliseconds.
   * @param load - Load of the service.
   */
  estimateWaitMs(load: ServiceLoad): number {
    if (load.slots === 0) return Infinity;
    // Less than one slot if the instances accept fewer requests than one at a time.
    const assumedSlots = Math.max(Math.min(1, load.slots), load.slots * ASSUMED_SLOT_SHARE);
    const slotReleaseIntervalMs = load.slotReleaseIntervalMs ?? load.serviceMs / assumedSlots;
    return (load.requestsAhead + 1) * slotReleaseIntervalMs;
  }

  /**
   * Decides whether a request waits. A request that could not be answered before its deadline is refused immediately.
   * @param load - Load of the service.
   * @param remainingMs - Time until the deadline of the request, in milliseconds.
   */
  decide(load: ServiceLoad, remainingMs: number): 'wait' | 'refuse' {
    return this.estimateWaitMs(load) + load.serviceMs > remainingMs ? 'refuse' : 'wait';
  }

  /**
   * Computes the time after which a refused caller should retry, in milliseconds.
   * @param load - Load of the service, as the ranks and the tenant of the request find it.
   * @param remainingMs - Time until the deadline of the request, in milliseconds.
   * @param fraction - Random number from 0 to below 1 that spreads the retries over time.
   */
  computeRetryAfterMs(load: ServiceLoad, remainingMs: number, fraction: number): number {
    const boundedWaitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, this.estimateWaitMs(load)));
    // Half of the time is added or subtracted, so that also the longest time is within the bound and the times are still spread.
    const longestMs = (Math.max(0, remainingMs) * MAX_REMAINING_SHARE) / 1.5;
    return Math.min(boundedWaitMs, longestMs) * (0.5 + fraction);
  }
}
