import type * as callerRules from './CallerRules.js';
import type * as requestInProgress from './RequestInProgress.js';
import * as serviceQueue from './ServiceQueue.js';

/** Request queues of all services. */
export class ServiceQueueTable {
  private readonly queues = new Map<string, serviceQueue.ServiceQueue>();

  /** @param rules - Factory of the policies of a queue. */
  constructor(private readonly rules: callerRules.CallerRules) {}

  /**
   * Gets the queue of a service; creates it at the first request.
   * @param service - Name of a declared service.
   */
  getQueue(service: string): serviceQueue.ServiceQueue {
    const existing = this.queues.get(service);
    if (existing !== undefined) return existing;
    const queue = new serviceQueue.ServiceQueue(this.rules.createAdmissionPolicy(), this.rules.createRetryBudget());
    this.queues.set(service, queue);
    return queue;
  }

  /**
   * Removes a request that ended in the queue.
   * @param request - Request to remove.
   */
  removeQueued(request: requestInProgress.RequestInProgress): void {
    this.queues.get(request.callerRequest.service)?.admission.remove(request);
  }

  /** Counts the queued requests of all services. */
  countQueued(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.admission.count(), 0);
  }
}
