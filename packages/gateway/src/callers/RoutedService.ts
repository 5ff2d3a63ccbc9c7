import * as servicePool from '../upstreams/ServicePool.js';
import * as slotReleaseRate from './SlotReleaseRate.js';
import * as retryBudget from './RetryBudget.js';
import type * as routedRequest from './RoutedRequest.js';
import * as scarceRetries from './ScarceRetries.js';
import * as serviceOutcomes from './ServiceOutcomes.js';
import * as waitQueue from './WaitQueue.js';

/** Options of a `RoutedService`. */
export interface RoutedServiceOptions {
  readonly pool: servicePool.ServicePoolOptions;
  readonly budget: retryBudget.RetryBudgetOptions;
}

/** State of one service in this VM: its instances, the requests that wait for them, and its retry budget. */
export class RoutedService {
  readonly pool: servicePool.ServicePool;

  readonly queue = new waitQueue.WaitQueue((nowMs) => this.slotReleaseRate.estimateIntervalMs(nowMs));

  readonly budget: retryBudget.RetryBudget;

  private readonly scarceRetries = new scarceRetries.ScarceRetries();

  readonly outcomes = new serviceOutcomes.ServiceOutcomes();

  readonly slotReleaseRate = new slotReleaseRate.SlotReleaseRate();

  /** Number of connections that one instance accepts from all VMs together. */
  maxConnections = Infinity;

  /** @param options - Options of the instance pool and of the retry budget. */
  constructor(options: RoutedServiceOptions) {
    this.pool = new servicePool.ServicePool(options.pool);
    this.budget = new retryBudget.RetryBudget(options.budget);
  }

  /**
   * Consumes one retry of the budget for a request. Returns false if there is none for its ranks.
   * @param request - Request that was sent before.
   * @param nowMs - Current time.
   * @param purpose - Why it is sent again.
   */
  takeRetry(request: routedRequest.RoutedRequest, nowMs: number, purpose: retryBudget.RetryPurpose): boolean {
    const ranks = request.getRanks();
    if (this.scarceRetries.isReserved(ranks, nowMs)) return false;
    const isTaken = this.budget.take(nowMs, purpose);
    // A hedge that is not sent loses no request.
    if (!isTaken && purpose === 'retry') this.scarceRetries.recordDenial(ranks, nowMs);
    return isTaken;
  }

  /**
   * Counts a request that has arrived.
   * @param request - Request.
   * @param nowMs - Current time.
   */
  recordArrival(request: routedRequest.RoutedRequest, nowMs: number): void {
    this.budget.addRequest(nowMs);
    this.outcomes.recordArrival(request.options.route.kind, nowMs);
    this.queue.recordArrival(request, nowMs);
  }
}
