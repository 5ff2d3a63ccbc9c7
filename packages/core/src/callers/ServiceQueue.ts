import type * as admissionPolicy from './AdmissionPolicy.js';
import type * as requestInProgress from './RequestInProgress.js';
import type * as retryBudget from './RetryBudget.js';
import * as waitEstimator from './WaitEstimator.js';

// After this time without `capacity-freed`, the next request to be queued triggers an attempt, so that a lost message cannot block
// the queue.
const CAPACITY_RECHECK_MS = 50;

/** Queue of the requests for one service, with its admission policy and retry budget. */
export class ServiceQueue {
  // `open`: requests are sent without queueing. `dispatching`: queued requests are being sent, one after the other. `saturated`: all
  // instances are at their limits.
  private state: 'open' | 'dispatching' | 'saturated' = 'open';

  private saturatedAtMs = 0;

  private readonly estimator = new waitEstimator.WaitEstimator();

  /**
   * @param admission - Policy that holds and orders the queued requests.
   * @param budget - Budget for retries and hedges.
   */
  constructor(readonly admission: admissionPolicy.AdmissionPolicy, readonly budget: retryBudget.RetryBudget) {}

  /** Returns whether a request can be sent without queueing. */
  isOpen(): boolean {
    return this.state === 'open';
  }

  /** Returns whether queued requests are being sent. */
  isDispatching(): boolean {
    return this.state === 'dispatching';
  }

  /**
   * Returns whether to request an instance although the upstream task has not reported free capacity.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  shouldRecheckCapacity(nowMs: number): boolean {
    return this.state === 'saturated' && nowMs - this.saturatedAtMs >= CAPACITY_RECHECK_MS;
  }

  /**
   * Marks that all instances are at their limits.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  markSaturated(nowMs: number): void {
    this.state = 'saturated';
    this.saturatedAtMs = nowMs;
  }

  /** Removes and returns the next request to send. If there is none, requests need no queueing from now on. */
  takeNext(): requestInProgress.RequestInProgress | undefined {
    const request = this.admission.takeNext();
    this.state = request === undefined ? 'open' : 'dispatching';
    return request;
  }

  /**
   * Estimates the time until a new request would be answered, in milliseconds.
   * @param request - New request.
   */
  estimateTotalMs(request: requestInProgress.RequestInProgress): number {
    return this.estimator.estimateTotalMs(this.admission.countBefore(request));
  }

  /**
   * Records that a request was sent. While queued requests are being sent, this updates the estimated interval between them.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  recordDispatch(nowMs: number): void {
    if (this.state === 'dispatching') this.estimator.recordDispatch(nowMs, this.admission.count());
  }

  /**
   * Records the latency of an answer.
   * @param latencyMs - Time from sending to the answer, in milliseconds.
   */
  recordLatency(latencyMs: number): void {
    this.estimator.recordLatency(latencyMs);
  }
}
