import type * as requestArrival from './RequestArrival.js';

// A VM that starts knows its routes within about this time, if the store or another VM can be reached.
const HOLD_MS = 600;

// The request must still be served after the wait.
const HOLD_DEADLINE_SHARE = 0.3;

// Held requests keep their bodies in memory.
const MAX_HELD = 512;

/** Requests that reached a VM before it knew its routes, in the order of their arrival. */
export class StartupHoldQueue {
  private readonly held = new Map<string, requestArrival.RequestArrival>();

  /**
   * Holds a request, unless too many are held. Returns the time for which it may wait, in milliseconds, or undefined.
   * @param arrival - Request as it arrived.
   */
  add(arrival: requestArrival.RequestArrival): number | undefined {
    if (this.held.size >= MAX_HELD) return undefined;
    this.held.set(arrival.requestId, arrival);
    return Math.min(HOLD_MS, (arrival.deadlineMs ?? Infinity) * HOLD_DEADLINE_SHARE);
  }

  /**
   * Takes out a request. Undefined if it is not held.
   * @param requestId - Id of the request.
   */
  take(requestId: string): requestArrival.RequestArrival | undefined {
    const arrival = this.held.get(requestId);
    this.held.delete(requestId);
    return arrival;
  }

  /** Takes out all requests. */
  takeAll(): readonly requestArrival.RequestArrival[] {
    const taken = [...this.held.values()];
    this.held.clear();
    return taken;
  }

  /** Counts the requests. */
  count(): number {
    return this.held.size;
  }
}
