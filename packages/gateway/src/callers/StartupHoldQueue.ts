import type * as requestArrival from './RequestArrival.js';

// Longest hold. A starting VM normally receives its configuration within this time if the store or another VM is reachable.
const MAX_HOLD_MS = 600;

// Longest hold as a fraction of the time for which the caller waits, so that enough time remains to serve the request.
const MAX_HOLD_DEADLINE_FRACTION = 0.3;

// Limits the memory used by the bodies of held requests.
const MAX_HELD_REQUESTS = 512;

/** Requests that arrived before the VM received its first configuration, in the order of their arrival. */
export class StartupHoldQueue {
  private readonly held = new Map<string, requestArrival.RequestArrival>();

  /**
   * Holds a request. Returns the longest hold in milliseconds, or undefined if the queue is full.
   * @param arrival - Request as received.
   */
  add(arrival: requestArrival.RequestArrival): number | undefined {
    if (this.held.size >= MAX_HELD_REQUESTS) return undefined;
    this.held.set(arrival.requestId, arrival);
    return Math.min(MAX_HOLD_MS, (arrival.deadlineMs ?? Infinity) * MAX_HOLD_DEADLINE_FRACTION);
  }

  /**
   * Removes a request and returns it. Undefined if it is not held.
   * @param requestId - Id of the request.
   */
  take(requestId: string): requestArrival.RequestArrival | undefined {
    const arrival = this.held.get(requestId);
    this.held.delete(requestId);
    return arrival;
  }

  /** Removes all requests and returns them. */
  takeAll(): readonly requestArrival.RequestArrival[] {
    const removed = [...this.held.values()];
    this.held.clear();
    return removed;
  }

  /** Counts the held requests. */
  count(): number {
    return this.held.size;
  }
}
