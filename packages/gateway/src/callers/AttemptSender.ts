import type * as core from '@tamarackferry/core';

import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as pooledInstance from '../upstreams/PooledInstance.js';
import type * as servicePool from '../upstreams/ServicePool.js';
import type * as gatewayOutput from './GatewayOutput.js';
import type * as requestTimers from './RequestTimers.js';
import type * as retryBudget from './RetryBudget.js';
import type * as routedRequest from './RoutedRequest.js';
import type * as routedService from './RoutedService.js';
import type * as serviceTable from './ServiceTable.js';
import * as waitingPolicy from './WaitingPolicy.js';

// An idempotent request is sent to a second instance as well when it takes longer than this share of the answers of its route.
const HEDGE_QUANTILE = 0.93;
const MIN_HEDGE_MS = 20;

// Share of the connections accepted by an instance that this VM may open, so that the other VMs can connect as well.
const CONNECTION_SHARE = 0.25;

/** Options of an `AttemptSender`. */
export interface AttemptSenderOptions {
  readonly timers: core.time.TimerService;
  readonly requestTimers: requestTimers.RequestTimers;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  readonly services: serviceTable.ServiceTable;
  /** Called when an attempt of a request is sent. */
  readonly onSend: (request: routedRequest.RoutedRequest) => void;
}

/** Attempt that has ended, with its request. */
export interface EndedAttempt {
  readonly request: routedRequest.RoutedRequest;
  readonly attempt: routedRequest.RoutedAttempt;
}

/** Sends attempts to the instances chosen for them, and keeps those in flight. */
export class AttemptSender {
  // Requests by the ids of their attempts in flight.
  private readonly open = new Map<string, routedRequest.RoutedRequest>();

  private nextAttempt = 0;

  /** @param options - Dependencies. */
  constructor(private readonly options: AttemptSenderOptions) {}

  /** Counts the attempts in flight. */
  countOpen(): number {
    return this.open.size;
  }

  /**
   * Sends a request that has arrived or waits, if an instance is acceptable for it. Returns whether it was sent.
   * @param request - Request.
   * @param serviceEntry - State of its service.
   * @param urgency - Urgency to assume; by default, that of the request.
   */
  sendWaiting(
    request: routedRequest.RoutedRequest,
    serviceEntry: routedService.RoutedService,
    urgency?: servicePool.RequestUrgency,
  ): boolean {
    const nowMs = this.options.timers.getNowMs();
    const chosen = waitingPolicy.WaitingPolicy.chooseInstance(request, serviceEntry, nowMs, urgency);
    if (chosen === undefined || (request.countSent() > 0 && !serviceEntry.takeRetry(request, nowMs, 'retry'))) return false;
    this.sendTo(chosen, request, serviceEntry);
    return true;
  }

  /**
   * Sends a request to another instance at once, if its route, the remaining time and the retry budget permit. Returns whether it was sent.
   * @param request - Request that was sent before.
   * @param serviceEntry - State of its service.
   * @param purpose - Why it is sent again.
   */
  sendAgain(request: routedRequest.RoutedRequest, serviceEntry: routedService.RoutedService, purpose: retryBudget.RetryPurpose): boolean {
    const nowMs = this.options.timers.getNowMs();
    if (!waitingPolicy.WaitingPolicy.canRetry(request, nowMs)) return false;
    // A retry takes no place in a queue of an instance before the requests that wait for their first attempt.
    const urgency = serviceEntry.queue.countWaiting() > 0 ? 'normal' : undefined;
    const chosen = waitingPolicy.WaitingPolicy.chooseInstance(request, serviceEntry, nowMs, urgency);
    if (chosen === undefined || !serviceEntry.takeRetry(request, nowMs, purpose)) return false;
    this.sendTo(chosen, request, serviceEntry);
    return true;
  }

  /**
   * Ends an attempt in flight. Returns undefined if it has ended before.
   * @param attemptId - Id of the attempt.
   * @param ending - How it ended.
   */
  endAttempt(attemptId: string, ending: attemptEnding.AttemptEnding): EndedAttempt | undefined {
    const request = this.open.get(attemptId);
    const attempt = request?.attempts.find((candidate) => candidate.attemptId === attemptId);
    if (request === undefined || attempt === undefined) return undefined;
    this.open.delete(attemptId);
    attempt.state = ending.type === 'unsent' ? 'unsent' : 'ended';
    return { request, attempt };
  }

  /**
   * Cancels the attempts of a request that are in flight.
   * @param request - Request that has ended.
   */
  cancelAttempts(request: routedRequest.RoutedRequest): void {
    request.attempts.filter((attempt) => attempt.state === 'open').forEach((attempt) => {
      this.options.outbox.post({ type: 'cancel-attempt', attemptId: attempt.attemptId });
    });
  }

  private sendTo(
    chosen: pooledInstance.PooledInstance,
    request: routedRequest.RoutedRequest,
    serviceEntry: routedService.RoutedService,
  ): void {
    const { options } = request;
    const nowMs = this.options.timers.getNowMs();
    if (request.countSent() === 0) serviceEntry.queue.recordSent(request, nowMs);
    this.nextAttempt += 1;
    const attemptId = String(this.nextAttempt);
    request.attempts.push({
      attemptId, instance: chosen, record: chosen.getRecord(), sentAtMs: nowMs, state: 'open',
    });
    request.state = 'sent';
    this.open.set(attemptId, request);
    this.options.onSend(request);
    chosen.beginAttempt(attemptId, nowMs, options.durations);
    this.options.services.recordUse(chosen);
    this.options.outbox.post({
      type: 'send-attempt',
      attemptId,
      arrival: options.arrival,
      identity: options.identity,
      instance: chosen.getRecord(),
      deadlineMs: Math.max(1, Math.floor(Math.min(request.computeRemainingMs(nowMs), request.computeCallerRemainingMs(nowMs)))),
      connectionLimit: Math.max(2, Math.floor(serviceEntry.maxConnections * CONNECTION_SHARE)),
    });
    if (options.route.kind === 'idempotent' && request.countSent() < options.route.maxAttempts) {
      this.options.requestTimers.subscribe(request, 'hedge-due', Math.max(MIN_HEDGE_MS, options.durations.estimateQuantile(HEDGE_QUANTILE)));
    }
  }
}
