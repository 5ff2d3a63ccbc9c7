import type * as admissionPolicy from './AdmissionPolicy.js';
import type * as requestInProgress from './RequestInProgress.js';
import type * as retryBudget from './RetryBudget.js';
import * as waitEstimator from './WaitEstimator.js';

// A saturated service is asked again at this interval, so that a lost `capacity-freed` does not stop the queue.
const CAPACITY_RECHECK_MS = 50;

/** Requests that wait for one service, and the bounds on its load. */
export class ServiceQueue {
  private state: 'open' | 'dispatching' | 'saturated' = 'open';

  private saturatedAtMs = 0;

  private readonly estimator = new waitEstimator.WaitEstimator();

  /**
   * @param admission - Policy for the requests that wait.
   * @param budget - Bound on retries and hedges.
   */
  constructor(readonly admission: admissionPolicy.AdmissionPolicy, readonly budget: retryBudget.RetryBudget) {}

  /** Tells whether a request need not wait. */
  isOpen(): boolean {
    return this.state === 'open';
  }

  /** Tells whether waiting requests are being sent. */
  isDispatching(): boolean {
    return this.state === 'dispatching';
  }

  /**
   * Tells whether the upstream task should be asked although it reported no free capacity.
   * @param nowMs - Monotonic time in milliseconds.
   */
  shouldRecheckCapacity(nowMs: number): boolean {
    return this.state === 'saturated' && nowMs - this.saturatedAtMs >= CAPACITY_RECHECK_MS;
  }

  /**
   * Marks that the limits of all instances are used up.
   * @param nowMs - Monotonic time in milliseconds.
   */
  markSaturated(nowMs: number): void {
    this.state = 'saturated';
    this.saturatedAtMs = nowMs;
  }

  /** Takes the next request to send; undefined reopens the service. */
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
   * Records that a waiting request was sent.
   * @param nowMs - Monotonic time in milliseconds.
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
