import type * as core from '@tamarackferry/core';

import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as admissionPolicy from './AdmissionPolicy.js';
import type * as gatewayOutput from './GatewayOutput.js';
import type * as requestArrival from './RequestArrival.js';
import type * as requestLog from './RequestLog.js';
import type * as routedRequest from './RoutedRequest.js';

// Time after which a caller should retry a request that could not be routed. A VM receives new routes within about this time.
const UNROUTED_RETRY_AFTER_MS = 500;

// A retry of a request that is refused for one of these reasons would be refused as well.
const PERMANENT_REASONS: ReadonlySet<requestArrival.RefusalReason> = new Set(['no-route', 'unknown-key']);

/** Options of an `OutcomeReporter`. */
export interface OutcomeReporterOptions {
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  readonly log: requestLog.RequestLog;
  readonly admission: admissionPolicy.AdmissionPolicy;
}

/** Reports the outcome of each request to its caller and to the log. */
export class OutcomeReporter {
  /** @param options - Receivers of the outcomes, admission policy and random source. */
  constructor(private readonly options: OutcomeReporterOptions) {}

  /**
   * Passes the answer of an instance on to the caller.
   * @param request - Request.
   * @param answer - Complete answer of the instance.
   */
  answer(request: routedRequest.RoutedRequest, answer: attemptEnding.InstanceAnswer): void {
    this.options.outbox.post({ type: 'answer', requestId: request.options.arrival.requestId, answer });
    this.options.log.logRequest('request-answered', request, { status: answer.status, attempts: request.attempts.length });
  }

  /**
   * Refuses a request, with the time after which the caller should retry.
   * @param request - Request.
   * @param reason - Reason of the refusal.
   * @param load - Load of the service of the request.
   * @param limitedInstances - Number of instances of the service that state a limit.
   * @param nowMs - Current time.
   */
  refuse(
    request: routedRequest.RoutedRequest,
    reason: requestArrival.RefusalReason,
    load: admissionPolicy.ServiceLoad,
    limitedInstances: number,
    nowMs: number,
  ): void {
    const { outbox, admission, random } = this.options;
    const remainingMs = Math.min(request.computeRemainingMs(nowMs), request.computeCallerRemainingMs(nowMs));
    const retryAfterMs = admission.computeRetryAfterMs(load, remainingMs, random.drawFraction());
    const waitMs = admission.estimateWaitMs(load);
    outbox.post({
      type: 'refuse',
      requestId: request.options.arrival.requestId,
      reason,
      retryAfterMs,
    });
    this.options.log.logRequest('request-refused', request, {
      reason,
      attempts: request.attempts.length,
      routeRank: request.options.route.rank,
      tenantRank: request.getTenant()?.rank,
      waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : undefined,
      retryAfterMs: Math.round(retryAfterMs),
      waiting: load.requestsAhead,
      slots: Number(load.slots.toFixed(1)),
      limited: limitedInstances,
      serviceMs: Math.round(load.serviceMs),
    });
  }

  /**
   * Refuses a request on its arrival, since its tenant has used up its quota.
   * @param request - Request.
   * @param retryAfterMs - Time after which the caller should retry, in milliseconds.
   */
  refuseOverQuota(request: routedRequest.RoutedRequest, retryAfterMs: number): void {
    const reason = 'over-quota';
    this.options.outbox.post({
      type: 'refuse', requestId: request.options.arrival.requestId, reason, retryAfterMs,
    });
    this.options.log.logRequest('request-refused', request, { reason, attempts: 0 });
  }

  /**
   * Refuses a request that was not routed.
   * @param arrival - Request as received.
   * @param reason - Reason of the refusal.
   * @param retryAfterMs - Time after which the caller should retry; by default, the time in which a VM receives a newer configuration.
   */
  refuseArrival(
    arrival: requestArrival.RequestArrival,
    reason: requestArrival.RefusalReason,
    retryAfterMs = this.computeUnroutedRetryAfterMs(reason),
  ): void {
    const { outbox } = this.options;
    outbox.post({
      type: 'refuse', requestId: arrival.requestId, reason, retryAfterMs,
    });
    this.options.log.logUnrouted('request-refused', arrival, reason);
  }

  private computeUnroutedRetryAfterMs(reason: requestArrival.RefusalReason): number | undefined {
    if (PERMANENT_REASONS.has(reason)) return undefined;
    // Between once and twice the time, so that callers do not all retry at the same moment.
    return UNROUTED_RETRY_AFTER_MS * (1 + this.options.random.drawFraction());
  }
}
