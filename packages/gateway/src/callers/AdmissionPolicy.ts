/** Load of a service at the moment at which a request has to wait. */
export interface ServiceLoad {
  /** Slots of all instances that take requests. */
  readonly slots: number;
  /** Requests that go before this one. */
  readonly requestsAhead: number;
  /** Time between two slots that this VM gets free, in milliseconds; undefined if it is not known. */
  readonly slotReleaseIntervalMs: number | undefined;
  /** Typical time that a request holds a slot, in milliseconds. */
  readonly serviceMs: number;
}

// Slots are shared with the other VMs that callers use; this share of them is counted on until the VM has measured it.
const ASSUMED_SLOT_SHARE = 0.5;

// A refused caller that returns at once finds the same queue.
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 3_000;

/** Decides whether a request that finds no free slot may wait, and when a refused one should come back. */
export class AdmissionPolicy {
  /**
   * Estimates the time until a slot is free for the request, in milliseconds.
   * @param load - Load of the service.
   */
  estimateWaitMs(load: ServiceLoad): number {
    if (load.slots === 0) return Infinity;
    const slotReleaseIntervalMs = load.slotReleaseIntervalMs ?? load.serviceMs / Math.max(1, load.slots * ASSUMED_SLOT_SHARE);
    return (load.requestsAhead + 1) * slotReleaseIntervalMs;
  }

  /**
   * Decides about waiting: a request that cannot be served in its time is refused at once.
   * @param load - Load of the service.
   * @param leftMs - Time that the request has left, in milliseconds.
   */
  decide(load: ServiceLoad, remainingMs: number): 'wait' | 'refuse' {
    return this.estimateWaitMs(load) + load.serviceMs > remainingMs ? 'refuse' : 'wait';
  }

  /**
   * Computes the time after which a refused caller should come back, in milliseconds.
   * @param load - Load of the service.
   * @param fraction - Random number from 0 to below 1, which spreads the returns.
   */
  computeRetryAfterMs(load: ServiceLoad, fraction: number): number {
    const boundedWaitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, this.estimateWaitMs(load)));
    return boundedWaitMs * (0.5 + fraction);
  }
}
