import type * as requestArrival from './RequestArrival.js';

// A VM that starts knows its routes within about this time, if the store or another VM can be reached.
const MAX_HOLD_MS = 600;

// The request must still be served after the wait.
const MAX_HOLD_DEADLINE_SHARE = 0.3;

// Held requests keep their bodies in memory.
const MAX_HELD_REQUESTS = 512;

/** Requests that reached a VM before it knew its routes, in the order of their arrival. */
export class StartupHoldQueue {
  private readonly held = new Map<string, requestArrival.RequestArrival>();

  /**
   * Holds a request, unless too many are held. Returns the time for which it may wait, in milliseconds, or undefined.
   * @param arrival - Request as it arrived.
   */
  add(arrival: requestArrival.RequestArrival): number | undefined {
    if (this.held.size >= MAX_HELD_REQUESTS) return undefined;
    this.held.set(arrival.requestId, arrival);
    return Math.min(MAX_HOLD_MS, (arrival.deadlineMs ?? Infinity) * MAX_HOLD_DEADLINE_SHARE);
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
    const removed = [...this.held.values()];
    this.held.clear();
    return removed;
  }

  /** Counts the requests. */
  count(): number {
    return this.held.size;
  }
}
