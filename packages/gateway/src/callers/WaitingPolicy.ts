import type * as pooledInstance from '../upstreams/PooledInstance.js';
import type * as servicePool from '../upstreams/ServicePool.js';
import type * as admissionPolicy from './AdmissionPolicy.js';
import type * as routedRequest from './RoutedRequest.js';
import type * as routedService from './RoutedService.js';
import * as urgencyPolicy from './UrgencyPolicy.js';
import type * as waitQueue from './WaitQueue.js';

// Quantile of the answer durations of a route that counts as the service time of a request. A retry is sent only if this time remains;
// a later one would only occupy a slot.
const SERVICE_TIME_QUANTILE = 0.5;

// A request is refused before it has waited only if its estimated wait exceeds the permitted one by this factor: the estimate follows the
// slots of the last second, and counts waiting requests that will be refused.
const WAIT_TOLERANCE = 1.5;

// A request beyond the share of its tenant yields to all that arrive later, so that it waits longer than estimated. It is refused if the
// estimate exceeds this part of the shortest permitted wait; a part of the wait permitted to its own route would refuse urgent requests
// more often than others.
const EXCESS_TOLERANCE = 0.8;

// Greatest number of attempts of one request, including those whose instance could not be reached.
const MAX_TOTAL_ATTEMPTS = 5;

/** Decides for single requests whether they wait, may be sent once more, and to which instance they go now. */
export class WaitingPolicy {
  /** @param admission - Policy that compares the expected wait with the remaining time. */
  constructor(private readonly admission: admissionPolicy.AdmissionPolicy) {}

  /**
   * Computes how urgent a request is.
   * @param request - Request.
   * @param nowMs - Current time.
   */
  static computeUrgency(request: routedRequest.RoutedRequest, nowMs: number): servicePool.RequestUrgency {
    const { arrival, route, deadlineAtMs } = request.options;
    return urgencyPolicy.UrgencyPolicy.computeUrgency(nowMs - arrival.arrivedAtMs, route.objectiveMs, deadlineAtMs - arrival.arrivedAtMs);
  }

  /**
   * Chooses the instance for the next attempt of a request. Undefined if none is acceptable.
   * @param request - Request.
   * @param serviceEntry - State of its service.
   * @param nowMs - Current time.
   * @param urgency - Urgency to assume.
   */
  static chooseInstance(
    request: routedRequest.RoutedRequest,
    serviceEntry: routedService.RoutedService,
    nowMs: number,
    urgency = WaitingPolicy.computeUrgency(request, nowMs),
  ): pooledInstance.PooledInstance | undefined {
    const { kind } = request.options.route;
    const condition = serviceEntry.outcomes.evaluateCondition(kind, nowMs);
    return serviceEntry.pool.chooseInstance(kind, request.listTriedInstances(), nowMs, urgency, condition);
  }

  /**
   * Whether the number of attempts of a request permits another one.
   * @param request - Request.
   */
  static hasAttemptsLeft(request: routedRequest.RoutedRequest): boolean {
    return request.attempts.length < MAX_TOTAL_ATTEMPTS;
  }

  /**
   * Whether the route and the remaining time of a request that was sent permit a retry.
   * @param request - Request.
   * @param nowMs - Current time.
   */
  static canRetry(request: routedRequest.RoutedRequest, nowMs: number): boolean {
    const { route, durations } = request.options;
    return request.countSent() < route.maxAttempts && WaitingPolicy.hasAttemptsLeft(request)
      && request.computeRemainingMs(nowMs) >= durations.estimateQuantile(SERVICE_TIME_QUANTILE);
  }

  /**
   * Decides whether a request waits. A critical request that no instance can queue is refused now; otherwise it would wait longer and
   * probably still be refused.
   * @param request - Request for which no instance is acceptable now.
   * @param serviceEntry - State of its service.
   * @param place - Its place in the queue.
   * @param nowMs - Current time.
   */
  decide(
    request: routedRequest.RoutedRequest,
    serviceEntry: routedService.RoutedService,
    place: waitQueue.WaitPlace,
    nowMs: number,
  ): 'wait' | 'refuse' {
    if (WaitingPolicy.computeUrgency(request, nowMs) === 'critical') return 'refuse';
    const load = WaitingPolicy.buildLoad(request, serviceEntry, place.requestsAhead, nowMs);
    // A request that would still wait when it becomes critical is refused now, so that it is not held in vain. Limits bind even a critical
    // request.
    const isLimited = serviceEntry.pool.countLimited(nowMs) > 0;
    const waitMs = this.admission.estimateWaitMs(load);
    if (place.claim === 'excess' && waitMs > EXCESS_TOLERANCE * place.sharedHoldMs) return 'refuse';
    const tolerance = WaitingPolicy.chooseTolerance(load, isLimited ? 'limited' : 'unlimited');
    if (waitMs > WaitingPolicy.computeMsUntilCritical(request, nowMs) * tolerance) return 'refuse';
    return this.admission.decide(load, request.computeRemainingMs(nowMs));
  }

  // Before the releases of slots were measured, the estimate is too rough to refuse a request that may be served.
  private static chooseTolerance(
    load: admissionPolicy.ServiceLoad,
    limitation: 'limited' | 'unlimited',
  ): number {
    if (limitation === 'limited') return 1;
    return load.slotReleaseIntervalMs === undefined ? Infinity : WAIT_TOLERANCE;
  }

  private static computeMsUntilCritical(request: routedRequest.RoutedRequest, nowMs: number): number {
    const { arrival, route, deadlineAtMs } = request.options;
    const maxHoldMs = urgencyPolicy.UrgencyPolicy.computeMaxHoldMs(route.objectiveMs, deadlineAtMs - arrival.arrivedAtMs);
    return maxHoldMs - (nowMs - arrival.arrivedAtMs);
  }

  /**
   * Builds the load of a service as a request finds it.
   * @param request - Request.
   * @param serviceEntry - State of its service.
   * @param requestsAhead - Waiting requests that are served before it.
   * @param nowMs - Current time.
   */
  static buildLoad(
    request: routedRequest.RoutedRequest,
    serviceEntry: routedService.RoutedService,
    requestsAhead: number,
    nowMs: number,
  ): admissionPolicy.ServiceLoad {
    const serviceMs = request.options.durations.estimateQuantile(SERVICE_TIME_QUANTILE);
    return {
      slots: serviceEntry.pool.estimateUsableSlots(serviceMs, nowMs),
      requestsAhead,
      slotReleaseIntervalMs: serviceEntry.slotReleaseRate.estimateIntervalMs(nowMs),
      serviceMs,
    };
  }
}
