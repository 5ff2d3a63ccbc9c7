import type * as core from '@tamarackferry/core';

import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as admissionPolicy from './AdmissionPolicy.js';
import type * as gatewayOutput from './GatewayOutput.js';
import type * as requestArrival from './RequestArrival.js';
import type * as requestLog from './RequestLog.js';
import type * as routedRequest from './RoutedRequest.js';

// When a caller comes back whose request could not be routed: a VM learns of routes within about this time.
const UNROUTED_RETRY_AFTER_MS = 500;

/** Options of `RequestOutcomes`. */
export interface OutcomeReporterOptions {
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  readonly log: requestLog.RequestLog;
  readonly admission: admissionPolicy.AdmissionPolicy;
}

/** Tells callers and the log what became of requests. */
export class OutcomeReporter {
  /** @param options - Receivers. */
  constructor(private readonly options: OutcomeReporterOptions) {}

  /**
   * Passes on the answer of an instance.
   * @param request - Request.
   * @param answer - Whole answer.
   */
  answer(request: routedRequest.RoutedRequest, answer: attemptEnding.InstanceAnswer): void {
    this.options.outbox.post({ type: 'answer', requestId: request.options.arrival.requestId, answer });
    this.options.log.logRequest('request-answered', request, { status: answer.status, attempts: request.attempts.length });
  }

  /**
   * Answers in place of an instance, with the time after which to come back.
   * @param request - Request.
   * @param reason - Why.
   * @param load - Load of its service.
   */
  refuse(request: routedRequest.RoutedRequest, reason: requestArrival.RefusalReason, load: admissionPolicy.ServiceLoad): void {
    const { outbox, admission, random } = this.options;
    outbox.post({
      type: 'refuse',
      requestId: request.options.arrival.requestId,
      reason,
      retryAfterMs: admission.computeRetryAfterMs(load, random.drawFraction()),
    });
    this.options.log.logRequest('request-refused', request, {
      reason, attempts: request.attempts.length, waiting: load.requestsAhead, slots: load.slots, serviceMs: Math.round(load.serviceMs),
    });
  }

  /**
   * Answers a request that was not routed.
   * @param arrival - Request as it arrived.
   * @param reason - Why.
   */
  refuseArrival(arrival: requestArrival.RequestArrival, reason: requestArrival.RefusalReason): void {
    const { outbox, random } = this.options;
    // Spread over twice the time, so that callers do not all return at once.
    const retryAfterMs = reason === 'no-route' ? undefined : UNROUTED_RETRY_AFTER_MS * (1 + random.drawFraction());
    outbox.post({
      type: 'refuse', requestId: arrival.requestId, reason, retryAfterMs,
    });
    this.options.log.logUnrouted('request-refused', arrival, reason);
  }
}
