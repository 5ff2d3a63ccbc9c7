import * as servicePool from '../upstreams/ServicePool.js';
import * as drainRate from './DrainRate.js';
import * as repeatBudget from './RepeatBudget.js';
import * as waitQueue from './WaitQueue.js';

/** Options of a `ServiceDesk`. */
export interface ServiceDeskOptions {
  readonly pool: servicePool.ServicePoolOptions;
  readonly budget: repeatBudget.RepeatBudgetOptions;
}

/** What a VM keeps for one service: its instances, the requests that wait for them, and the budget of repeats. */
export class ServiceDesk {
  readonly pool: servicePool.ServicePool;

  readonly queue = new waitQueue.WaitQueue();

  readonly budget: repeatBudget.RepeatBudget;

  readonly drain = new drainRate.DrainRate();

  /** Connections that one instance accepts from all VMs together. */
  maxConnections = Infinity;

  /** @param options - Service and bounds. */
  constructor(options: ServiceDeskOptions) {
    this.pool = new servicePool.ServicePool(options.pool);
    this.budget = new repeatBudget.RepeatBudget(options.budget);
  }
}
