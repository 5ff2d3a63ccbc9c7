import type * as routedRequest from './RoutedRequest.js';

// A request of the next lower rank is overtaken by those that arrive within this time; without a bound it would starve.
const RANK_STEP_MS = 300;

/** Requests of one service that wait for a free slot, the most urgent first. */
export class WaitQueue {
  private readonly waiting: routedRequest.RoutedRequest[] = [];

  /**
   * Adds a request.
   * @param added - Request without an instance.
   */
  add(added: routedRequest.RoutedRequest): void {
    const order = WaitQueue.computeOrder(added);
    const position = this.waiting.findIndex((other) => WaitQueue.computeOrder(other) > order);
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, added);
  }

  /**
   * Removes a request, if it waits.
   * @param removed - Request that is sent or ended.
   */
  remove(removed: routedRequest.RoutedRequest): void {
    const position = this.waiting.indexOf(removed);
    if (position >= 0) this.waiting.splice(position, 1);
  }

  /** Lists the requests in their order. */
  listWaiting(): readonly routedRequest.RoutedRequest[] {
    return [...this.waiting];
  }

  /** Counts the requests. */
  countWaiting(): number {
    return this.waiting.length;
  }

  /**
   * Counts the requests that would go before one.
   * @param candidate - Request that may be added.
   */
  countBefore(candidate: routedRequest.RoutedRequest): number {
    const order = WaitQueue.computeOrder(candidate);
    return this.waiting.filter((other) => other !== candidate && WaitQueue.computeOrder(other) <= order).length;
  }

  private static computeOrder(request: routedRequest.RoutedRequest): number {
    return request.options.arrival.arrivedAtMs + request.options.route.rank * RANK_STEP_MS;
  }
}
