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
    const order = WaitQueue.computeOrder(added);
    const position = this.waiting.findIndex((other) => WaitQueue.computeOrder(other) > order);
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, added);
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
   * Counts the requests that are served before a given one.
   * @param candidate - Request that is in the queue or may be added to it.
   */
  countBefore(candidate: routedRequest.RoutedRequest): number {
    const order = WaitQueue.computeOrder(candidate);
    return this.waiting.filter((other) => other !== candidate && WaitQueue.computeOrder(other) <= order).length;
  }

  private static computeOrder(request: routedRequest.RoutedRequest): number {
    return request.options.arrival.arrivedAtMs + request.options.route.rank * RANK_STEP_MS;
  }
}
