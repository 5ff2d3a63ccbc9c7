import type * as core from '@tamarackferry/core';

import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as gatewayOutput from './GatewayOutput.js';
import type * as requestArrival from './RequestArrival.js';
import type * as routedRequest from './RoutedRequest.js';

/** Writes the log lines about requests, each with the values on which the decision was based. */
export class RequestLog {
  /**
   * @param outbox - Receives the log lines.
   * @param timers - Timer service of the VM.
   */
  constructor(
    private readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>,
    private readonly timers: core.time.TimerService,
  ) {}

  /**
   * Logs the outcome of a request.
   * @param event - Name of the event.
   * @param request - Request.
   * @param fields - Outcome and the values on which it was based.
   */
  logRequest(event: string, request: routedRequest.RoutedRequest, fields: gatewayOutput.LogFields): void {
    const { arrival, route, service } = request.options;
    this.outbox.post({
      type: 'log',
      event,
      fields: {
        id: arrival.callerRequestId,
        route: route.name,
        service,
        tenant: request.getTenant()?.name,
        elapsedMs: Math.round(this.timers.getNowMs() - arrival.arrivedAtMs),
        ...fields,
      },
    });
  }

  /**
   * Logs an attempt that ended without an answer or with a server error. Other answers are not logged.
   * @param request - Request.
   * @param attempt - Attempt that ended.
   * @param ending - How it ended.
   */
  logAttempt(
    request: routedRequest.RoutedRequest,
    attempt: routedRequest.RoutedAttempt,
    ending: attemptEnding.AttemptEnding,
  ): void {
    if (ending.type === 'answered' && ending.answer.status < 500) return;
    const nowMs = this.timers.getNowMs();
    const { instance } = attempt;
    this.logRequest('attempt-failed', request, {
      instance: instance.getRecord().id,
      place: instance.getRecord().place,
      failure: Number(instance.estimateFailureProbability(nowMs).toFixed(3)),
      inFlight: instance.countInFlight(),
      ending: ending.type,
      status: ending.type === 'answered' ? ending.answer.status : undefined,
      ageMs: Math.round(nowMs - attempt.sentAtMs),
    });
  }

  /**
   * Logs the outcome of a request that was not routed.
   * @param event - Name of the event.
   * @param arrival - Request as received.
   * @param reason - Why it was not routed.
   */
  logUnrouted(event: 'request-refused' | 'request-abandoned', arrival: requestArrival.RequestArrival, reason: requestArrival.RefusalReason): void {
    this.outbox.post({
      type: 'log',
      event,
      fields: {
        id: arrival.callerRequestId,
        reason,
        elapsedMs: Math.round(this.timers.getNowMs() - arrival.arrivedAtMs),
        host: arrival.host,
        path: arrival.path,
      },
    });
  }
}
