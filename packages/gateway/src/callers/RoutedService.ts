import * as servicePool from '../upstreams/ServicePool.js';
import * as slotReleaseRate from './SlotReleaseRate.js';
import * as retryBudget from './RetryBudget.js';
import * as waitQueue from './WaitQueue.js';

/** Options of a `ServiceDesk`. */
export interface RoutedServiceOptions {
  readonly pool: servicePool.ServicePoolOptions;
  readonly budget: retryBudget.RetryBudgetOptions;
}

/** What a VM keeps for one service: its instances, the requests that wait for them, and the budget of repeats. */
export class RoutedService {
  readonly pool: servicePool.ServicePool;

  readonly queue = new waitQueue.WaitQueue();

  readonly budget: retryBudget.RetryBudget;

  readonly slotReleaseRate = new slotReleaseRate.SlotReleaseRate();

  /** Connections that one instance accepts from all VMs together. */
  maxConnections = Infinity;

  /** @param options - Service and bounds. */
  constructor(options: RoutedServiceOptions) {
    this.pool = new servicePool.ServicePool(options.pool);
    this.budget = new retryBudget.RetryBudget(options.budget);
  }
}
