import type * as routedRequest from './RoutedRequest.js';

// A request is overtaken by requests of the next more urgent rank that arrive up to this much later. Without this limit, requests of
// less urgent ranks would starve.
const RANK_STEP_MS = 300;

/** Requests of one service that wait for a free slot, ordered by arrival time and by the rank of their route. */
export class WaitQueue {
  private readonly waiting: routedRequest.RoutedRequest[] = [];

  /**
   * Adds a request at the position given by its arrival time and its rank.
   * @param added - Request for which no instance has a free slot.
   */
  add(added: routedRequest.RoutedRequest): void {
    this.waiting.splice(this.countServedBefore(added), 0, added);
  }

  /**
   * Removes a request if it is in the queue.
   * @param removed - Request that was sent or has ended.
   */
  remove(removed: routedRequest.RoutedRequest): void {
    const position = this.waiting.indexOf(removed);
    if (position >= 0) this.waiting.splice(position, 1);
  }

  /** Lists the requests in the order in which they are served. */
  listWaiting(): readonly routedRequest.RoutedRequest[] {
    return [...this.waiting];
  }

  /** Counts the waiting requests. */
  countWaiting(): number {
    return this.waiting.length;
  }

  /**
   * Counts the waiting requests that are served before one that is not in the queue.
   * @param candidate - Request that may be added to the queue.
   */
  countServedBefore(candidate: routedRequest.RoutedRequest): number {
    const order = WaitQueue.computeOrder(candidate);
    // Binary search for the first request that is served after the candidate.
    let low = 0;
    let high = this.waiting.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (WaitQueue.computeOrder(this.waiting[middle]!) > order) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  private static computeOrder(request: routedRequest.RoutedRequest): number {
    // A retry yields to requests that wait for their first attempt.
    const steps = request.options.route.rank + (request.countSent() > 0 ? 1 : 0);
    return request.options.arrival.arrivedAtMs + steps * RANK_STEP_MS;
  }
}
