import * as core from '@tamarackferry/core';

import type * as configuration from '../contracts/Configuration.js';
import * as activeRoutes from '../contracts/ActiveRoutes.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import * as evidenceGossip from '../upstreams/EvidenceGossip.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as pooledInstance from '../upstreams/PooledInstance.js';
import * as admissionPolicy from './AdmissionPolicy.js';
import * as startupHoldQueue from './StartupHoldQueue.js';
import type * as gatewayOutput from './GatewayOutput.js';
import type * as retryBudget from './RetryBudget.js';
import type * as requestArrival from './RequestArrival.js';
import * as requestLog from './RequestLog.js';
import * as outcomeReporter from './OutcomeReporter.js';
import * as routedRequest from './RoutedRequest.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';
import type * as routedService from './RoutedService.js';
import * as serviceConditionLog from './ServiceConditionLog.js';
import * as serviceTable from './ServiceTable.js';
import * as statementLog from './StatementLog.js';
import * as stopSchedule from './StopSchedule.js';
import * as waitingPolicy from './WaitingPolicy.js';

// Waiting requests are checked at this interval, so that a request that can no longer be served in time is refused.
const QUEUE_CHECK_INTERVAL_MS = 40;

// While requests are in flight, evidence about instances is sent to the other VMs at this interval: a fraction of the time for which a
// request occupies a slot.
const GOSSIP_INTERVAL_MS = 75;

// An idempotent request is sent to a second instance as well when it takes longer than this share of the answers of its route.
const HEDGE_QUANTILE = 0.93;
const MIN_HEDGE_MS = 20;

// Deadline for callers that state none; the time-out of the route applies as well.
const DEFAULT_DEADLINE_MS = 30_000;

// Share of the connections accepted by an instance that this VM may open, so that the other VMs can connect as well.
const CONNECTION_SHARE = 0.25;

/** Options of a `RoutedRequestTask`. */
export interface RoutedRequestTaskOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  /** Name of the VM. */
  readonly vm: string;
  /** Place of the VM. */
  readonly place: string;
  /** This VM's share of the retries that all VMs may send together. */
  readonly budget: retryBudget.RetryBudgetOptions;
  /** Smallest share of the sound instances of a service that must be used while many of its requests are not served. */
  readonly floorShare: number;
}

/** Owns the requests of callers from arrival to outcome. Decides where each is sent, whether it waits and whether it is retried. */
export class RoutedRequestTask extends core.tasks.Task<routedRequestMessage.RoutedRequestMessage> {
  private readonly requests = new Map<string, routedRequest.RoutedRequest>();

  // Requests that wait for the first configuration.
  private readonly heldRequests = new startupHoldQueue.StartupHoldQueue();

  // Requests by the ids of their attempts in flight.
  private readonly attempts = new Map<string, routedRequest.RoutedRequest>();

  private readonly services: serviceTable.ServiceTable;

  private readonly routes: activeRoutes.ActiveRoutes;

  private readonly requestLog: requestLog.RequestLog;

  private readonly statementLog: statementLog.StatementLog;

  private readonly conditionLog: serviceConditionLog.ServiceConditionLog;

  // `stale` if neither the store nor another VM has recently confirmed that the catalog is up to date.
  private catalogState: 'current' | 'stale' = 'stale';

  private readonly admission = new admissionPolicy.AdmissionPolicy();

  private readonly waiting = new waitingPolicy.WaitingPolicy(this.admission);

  private readonly reporter: outcomeReporter.OutcomeReporter;

  private nextAttempt = 0;

  private readonly stop = new stopSchedule.StopSchedule();

  private readonly gossip = new evidenceGossip.EvidenceGossip();

  private gossipTimer: core.time.TimerSubscription | undefined;

  private queueTimer: core.time.TimerSubscription | undefined;

  /** @param options - Dependencies and settings of the task. */
  constructor(private readonly options: RoutedRequestTaskOptions) {
    super(options.scheduler);
    this.statementLog = new statementLog.StatementLog(options.outbox);
    this.services = new serviceTable.ServiceTable({ ...options, statementLog: this.statementLog });
    this.routes = new activeRoutes.ActiveRoutes(options.random);
    this.requestLog = new requestLog.RequestLog(options.outbox, options.timers);
    this.conditionLog = new serviceConditionLog.ServiceConditionLog(options.outbox);
    this.reporter = new outcomeReporter.OutcomeReporter({ ...options, log: this.requestLog, admission: this.admission });
  }

  /** Counts the requests in progress. */
  countRequests(): number {
    return this.requests.size + this.heldRequests.count();
  }

  /** Counts the requests that wait for a free slot. */
  countWaiting(): number {
    return this.services.listServices().reduce((sum, serviceEntry) => sum + serviceEntry.queue.countWaiting(), 0);
  }

  /** Counts the instances that state a limit. */
  countLimitedInstances(): number {
    const nowMs = this.options.timers.getNowMs();
    return this.services.listServices().reduce((sum, serviceEntry) => sum + serviceEntry.pool.countLimited(nowMs), 0);
  }

  /** @internal */
  override handle(message: routedRequestMessage.RoutedRequestMessage): void {
    switch (message.type) {
      case 'request-arrived':
        this.beginRequest(message.arrival);
        break;
      case 'caller-gone':
        this.handleCallerGone(message.requestId);
        break;
      case 'attempt-ended':
        this.handleAttemptEnd(message.attemptId, message.ending);
        break;
      case 'configuration-changed':
        this.applyConfiguration(message.configuration);
        break;
      case 'instances-changed':
        this.applyInstances(message.records);
        break;
      case 'catalog-state':
        this.catalogState = message.state;
        break;
      case 'deadline-reached':
        this.handleDeadline(message.requestId);
        break;
      case 'hedge-due':
        this.handleHedge(message.requestId);
        break;
      case 'hold-expired':
        this.refuseHeld(message.requestId);
        break;
      case 'peer-evidence':
        this.services.applyEvidence(message.from, message.rows, this.options.timers.getNowMs());
        this.services.applyOutcomes(message.from, message.outcomes, this.options.timers.getNowMs());
        break;
      case 'stopping':
        this.beginStopping(message.acceptsUntilMs, message.endsAtMs);
        break;
      case 'budget-changed':
        this.services.applyBudget(message.budget);
        break;
      case 'gossip-due':
        this.gossipTimer = undefined;
        this.publishEvidence();
        break;
      case 'queue-check-due':
        this.queueTimer = undefined;
        this.serveQueues();
        break;
      // no default
    }
  }

  private beginRequest(arrival: requestArrival.RequestArrival): void {
    if (!this.routes.hasConfiguration() && this.enqueueHeld(arrival) === 'held') return;
    const found = this.routes.getRoute(arrival.host, arrival.path);
    if (found === undefined) {
      // While the configuration may be outdated, a newer one may contain the route.
      this.reporter.refuseArrival(arrival, this.routes.hasConfiguration() && this.catalogState === 'current' ? 'no-route' : 'no-configuration');
      return;
    }
    const service = this.routes.chooseService(found);
    const nowMs = this.options.timers.getNowMs();
    if (service === undefined) {
      this.reporter.refuseArrival(arrival, 'no-instance');
      return;
    }
    const deadlineAtMs = arrival.arrivedAtMs + Math.min(found.timeoutMs, arrival.deadlineMs ?? DEFAULT_DEADLINE_MS);
    if (this.stop.decide(deadlineAtMs, nowMs) === 'refuse') {
      this.reporter.refuseArrival(arrival, 'stopping');
      return;
    }
    const request = new routedRequest.RoutedRequest({
      arrival,
      route: found,
      service,
      durations: this.routes.getDurations(found),
      deadlineAtMs: this.stop.limitDeadline(deadlineAtMs),
    });
    const serviceEntry = this.services.getService(service);
    serviceEntry.budget.addRequest(nowMs);
    serviceEntry.outcomes.recordArrival(found.kind, nowMs);
    this.requests.set(arrival.requestId, request);
    this.subscribe(request, 'deadline-reached', Math.max(0, request.computeRemainingMs(nowMs)));
    if (serviceEntry.queue.countServedBefore(request) === 0 && this.sendAttempt(request, serviceEntry)) return;
    this.enqueueRequest(request, serviceEntry);
  }

  private beginStopping(acceptsUntilMs: number, endsAtMs: number): void {
    this.stop.begin(acceptsUntilMs, endsAtMs);
    // Requests that could take longer than the process runs get an outcome before it ends.
    this.requests.forEach((request) => this.subscribe(request, 'deadline-reached', Math.max(0, endsAtMs - this.options.timers.getNowMs())));
  }

  // A VM that has just started receives its routes within a short time, so requests are held until then.
  private enqueueHeld(arrival: requestArrival.RequestArrival): 'held' | 'full' {
    const delayMs = this.heldRequests.add(arrival);
    if (delayMs === undefined) return 'full';
    if (this.heldRequests.count() === 1) this.options.outbox.post({ type: 'catalog-needed' });
    this.options.timers.subscribe({ mailbox: this, message: { type: 'hold-expired' as const, requestId: arrival.requestId }, delayMs });
    return 'held';
  }

  private refuseHeld(requestId: string): void {
    const arrival = this.heldRequests.take(requestId);
    if (arrival !== undefined) this.reporter.refuseArrival(arrival, 'no-configuration');
  }

  private enqueueRequest(request: routedRequest.RoutedRequest, serviceEntry: routedService.RoutedService): void {
    if (this.addToQueue(request, serviceEntry) === 'refuse') this.refuse(request, serviceEntry.pool.countSlots() === 0 ? 'no-instance' : 'overloaded');
  }

  private addToQueue(request: routedRequest.RoutedRequest, serviceEntry: routedService.RoutedService): 'wait' | 'refuse' {
    const requestsAhead = serviceEntry.queue.countServedBefore(request);
    const decision = this.waiting.decide(request, serviceEntry, requestsAhead, this.options.timers.getNowMs());
    if (decision === 'refuse') return decision;
    request.state = 'waiting';
    serviceEntry.queue.add(request);
    this.startQueueTimer();
    return decision;
  }

  // Sends waiting requests in their order. If no instance is acceptable for one of them, none is for the later ones of the same kind and
  // urgency, so that the cost does not grow with the number of requests times the number of instances.
  private serveQueue(serviceEntry: routedService.RoutedService): void {
    const nowMs = this.options.timers.getNowMs();
    const unserved = new Set<string>();
    let requestsAhead = 0;
    serviceEntry.queue.listWaiting().forEach((request) => {
      const group = `${request.options.route.kind} ${waitingPolicy.WaitingPolicy.computeUrgency(request, nowMs)}`;
      if (!unserved.has(group) && this.sendAttempt(request, serviceEntry)) {
        serviceEntry.queue.remove(request);
        return;
      }
      // The instances that were tried before are not acceptable for this request only.
      if (request.attempts.length === 0) unserved.add(group);
      if (this.waiting.decide(request, serviceEntry, requestsAhead, nowMs) === 'wait') requestsAhead += 1;
      else {
        serviceEntry.queue.remove(request);
        this.refuse(request, 'overloaded');
      }
    });
    if (serviceEntry.queue.countWaiting() > 0) this.startQueueTimer();
  }

  private sendAttempt(request: routedRequest.RoutedRequest, serviceEntry: routedService.RoutedService): boolean {
    const nowMs = this.options.timers.getNowMs();
    const chosen = waitingPolicy.WaitingPolicy.chooseInstance(request, serviceEntry, nowMs);
    if (chosen === undefined || (request.countSent() > 0 && !serviceEntry.budget.take(nowMs))) return false;
    this.sendTo(chosen, request, serviceEntry);
    return true;
  }

  private sendTo(
    chosen: pooledInstance.PooledInstance,
    request: routedRequest.RoutedRequest,
    serviceEntry: routedService.RoutedService,
  ): void {
    const { options } = request;
    const nowMs = this.options.timers.getNowMs();
    this.nextAttempt += 1;
    const attemptId = String(this.nextAttempt);
    request.attempts.push({
      attemptId, instance: chosen, sentAtMs: nowMs, state: 'open',
    });
    request.state = 'sent';
    this.attempts.set(attemptId, request);
    this.gossipTimer ??= this.options.timers.subscribe({
      mailbox: this, message: { type: 'gossip-due' as const }, delayMs: GOSSIP_INTERVAL_MS,
    });
    chosen.beginAttempt(attemptId, nowMs, options.durations);
    this.services.recordUse(chosen);
    this.options.outbox.post({
      type: 'send-attempt',
      attemptId,
      arrival: options.arrival,
      instance: chosen.getRecord(),
      deadlineMs: Math.max(1, Math.floor(Math.min(request.computeRemainingMs(nowMs), this.computeCallerRemainingMs(request, nowMs)))),
      connectionLimit: Math.max(2, Math.floor(serviceEntry.maxConnections * CONNECTION_SHARE)),
    });
    if (options.route.kind === 'idempotent' && request.countSent() < options.route.maxAttempts) {
      this.subscribe(request, 'hedge-due', Math.max(MIN_HEDGE_MS, options.durations.estimateQuantile(HEDGE_QUANTILE)));
    }
  }

  private handleHedge(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request === undefined || request.state !== 'sent') return;
    // A hedged attempt would occupy a slot that a waiting request needs.
    if (this.services.getService(request.options.service).queue.countWaiting() > 0) this.subscribe(request, 'hedge-due', QUEUE_CHECK_INTERVAL_MS);
    else this.retryRequest(request, 'hedge');
  }

  private handleAttemptEnd(attemptId: string, ending: attemptEnding.AttemptEnding): void {
    const request = this.attempts.get(attemptId);
    const attempt = request?.attempts.find((candidate) => candidate.attemptId === attemptId);
    if (request === undefined || attempt === undefined) return;
    this.attempts.delete(attemptId);
    attempt.state = ending.type === 'unsent' ? 'unsent' : 'ended';
    this.recordAttemptEnd(attempt, ending);
    this.services.getService(request.options.service).slotReleaseRate.record(this.options.timers.getNowMs());
    this.requestLog.logAttempt(request, attempt, ending);
    if (RoutedRequestTask.isFailure(ending)) this.publishEvidence();
    if (request.state !== 'ended') this.settleRequest(request, ending);
    this.serveQueue(this.services.getService(request.options.service));
  }

  private recordAttemptEnd(attempt: routedRequest.RoutedAttempt, ending: attemptEnding.AttemptEnding): void {
    const { attemptId, instance } = attempt;
    const previousPerSecond = instance.getLimit();
    instance.endAttempt(attemptId, ending, this.options.timers.getNowMs());
    this.statementLog.logLimit(instance, previousPerSecond, 'answer');
    const limit = ending.type === 'answered' || ending.type === 'not-run' ? ending.statement.limit : undefined;
    if (limit?.type === 'unreadable') this.statementLog.logUnreadable(instance, limit.text);
    // The other VMs must know of a new limit before they send the instance more than it accepts.
    if (instance.getLimit() !== previousPerSecond) this.publishEvidence();
  }

  private static isFailure(ending: attemptEnding.AttemptEnding): boolean {
    return ending.type === 'answered' ? ending.answer.status >= 500 : ending.type === 'reset' || ending.type === 'broken';
  }

  private settleRequest(request: routedRequest.RoutedRequest, ending: attemptEnding.AttemptEnding): void {
    const { kind } = request.options.route;
    switch (ending.type) {
      case 'answered':
        if (kind === 'idempotent' && ending.answer.status >= 500) {
          request.failedAnswer = ending.answer;
          if (request.hasOpenAttempt() || this.retryRequest(request) || this.enqueueRetry(request)) return;
        }
        this.answer(request, ending.answer);
        return;
      case 'unsent':
        if (request.hasOpenAttempt() || this.resumeRequest(request)) return;
        break;
      case 'not-run':
      case 'misdirected':
        if (request.hasOpenAttempt() || this.retryRequest(request)) return;
        break;
      // After `reset`, `broken` and `cancelled`, the instance may have processed the request.
      default:
        request.execution = 'may-have-run';
        if (kind === 'idempotent' && (request.hasOpenAttempt() || this.retryRequest(request))) return;
        break;
    }
    this.refuse(request, request.execution === 'may-have-run' ? 'unknown' : 'overloaded');
  }

  // An instance that could not be reached has received nothing, so the request is sent or queued as if it had just arrived.
  private resumeRequest(request: routedRequest.RoutedRequest): boolean {
    if (request.countSent() > 0) return this.retryRequest(request);
    if (!waitingPolicy.WaitingPolicy.hasAttemptsLeft(request)) return false;
    const serviceEntry = this.services.getService(request.options.service);
    if (!this.sendAttempt(request, serviceEntry)) this.enqueueRequest(request, serviceEntry);
    return true;
  }

  // Sends the request to another instance if its route, the remaining time and the retry budget permit.
  private retryRequest(request: routedRequest.RoutedRequest, purpose: retryBudget.RetryPurpose = 'retry'): boolean {
    const nowMs = this.options.timers.getNowMs();
    if (!waitingPolicy.WaitingPolicy.canRetry(request, nowMs)) return false;
    const serviceEntry = this.services.getService(request.options.service);
    // A retry takes no place in a queue of an instance before the requests that wait for their first attempt.
    const urgency = serviceEntry.queue.countWaiting() > 0 ? 'normal' : undefined;
    const chosen = waitingPolicy.WaitingPolicy.chooseInstance(request, serviceEntry, nowMs, urgency);
    if (chosen === undefined || !serviceEntry.budget.take(nowMs, purpose)) return false;
    this.sendTo(chosen, request, serviceEntry);
    return true;
  }

  // If only instances that probably fail have free capacity, the retry waits for another one: an instance that fails at once always has
  // free slots, and would use up the retries.
  private enqueueRetry(request: routedRequest.RoutedRequest): boolean {
    return waitingPolicy.WaitingPolicy.canRetry(request, this.options.timers.getNowMs())
      && this.addToQueue(request, this.services.getService(request.options.service)) === 'wait';
  }

  private handleDeadline(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request === undefined) return;
    if (request.attempts.length === 0) this.refuse(request, 'too-late');
    else this.refuse(request, request.hasOpenAttempt() || request.execution === 'may-have-run' ? 'timed-out' : 'too-late');
  }

  private handleCallerGone(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request === undefined) {
      const arrival = this.heldRequests.take(requestId);
      if (arrival !== undefined) this.requestLog.logUnrouted('request-abandoned', arrival, 'no-configuration');
      return;
    }
    this.requestLog.logRequest('request-abandoned', request, { attempts: request.attempts.length });
    this.endRequest(request);
  }

  private answer(request: routedRequest.RoutedRequest, answer: attemptEnding.InstanceAnswer): void {
    this.reporter.answer(request, answer);
    this.recordOutcome(request, answer.status < 500 ? 'served' : 'unserved');
    this.endRequest(request);
  }

  private refuse(request: routedRequest.RoutedRequest, reason: requestArrival.RefusalReason): void {
    if (request.failedAnswer !== undefined) {
      this.answer(request, request.failedAnswer);
      return;
    }
    const serviceEntry = this.services.getService(request.options.service);
    const requestsAhead = serviceEntry.queue.countServedBefore(request);
    const nowMs = this.options.timers.getNowMs();
    const load = waitingPolicy.WaitingPolicy.buildLoad(request, serviceEntry, requestsAhead, nowMs);
    this.reporter.refuse(request, reason, load, serviceEntry.pool.countLimited(nowMs));
    this.recordOutcome(request, 'unserved');
    this.endRequest(request);
  }

  private recordOutcome(request: routedRequest.RoutedRequest, outcome: 'served' | 'unserved'): void {
    const { service } = request.options;
    const nowMs = this.options.timers.getNowMs();
    const serviceEntry = this.services.getService(service);
    serviceEntry.outcomes.record(outcome, nowMs);
    this.conditionLog.update(service, serviceEntry, this.services.computeEvidenceAgeMs(nowMs), nowMs);
  }

  private endRequest(request: routedRequest.RoutedRequest): void {
    if (request.state === 'waiting') this.services.getService(request.options.service).queue.remove(request);
    request.state = 'ended';
    request.cancelTimers();
    this.requests.delete(request.options.arrival.requestId);
    request.attempts.filter((attempt) => attempt.state === 'open').forEach((attempt) => {
      this.options.outbox.post({ type: 'cancel-attempt', attemptId: attempt.attemptId });
    });
  }

  private applyConfiguration(applied: configuration.Configuration): void {
    this.routes.applyConfiguration(applied);
    this.services.applyConfiguration(applied);
    this.options.outbox.post({ type: 'limits-changed', limits: applied.limits });
  }

  private applyInstances(records: readonly instanceRecord.InstanceRecord[]): void {
    this.services.applyInstances(records, this.options.timers.getNowMs());
    // The first instances arrive directly after the first configuration, so held requests can be routed now.
    if (this.routes.hasConfiguration()) this.heldRequests.takeAll().forEach((arrival) => this.beginRequest(arrival));
    this.serveQueues();
  }

  private serveQueues(): void {
    this.services.listServices().forEach((serviceEntry) => this.serveQueue(serviceEntry));
  }

  private publishEvidence(): void {
    const nowMs = this.options.timers.getNowMs();
    const selected = this.gossip.selectEvidence(this.services.listEvidence(nowMs), nowMs);
    this.services.releaseUnused((instance) => this.gossip.hasReported(instance));
    if (selected.length > 0) this.options.outbox.post({ type: 'evidence-found', rows: selected, outcomes: this.services.listOutcomes(nowMs) });
    if (this.attempts.size > 0 || this.services.countUsed() > 0) {
      this.gossipTimer ??= this.options.timers.subscribe({ mailbox: this, message: { type: 'gossip-due' as const }, delayMs: GOSSIP_INTERVAL_MS });
    }
  }

  private computeCallerRemainingMs(request: routedRequest.RoutedRequest, nowMs: number): number {
    const { arrival } = request.options;
    return arrival.deadlineMs === undefined ? Infinity : arrival.arrivedAtMs + arrival.deadlineMs - nowMs;
  }

  private subscribe(request: routedRequest.RoutedRequest, type: 'deadline-reached' | 'hedge-due', delayMs: number): void {
    request.timers.push(this.options.timers.subscribe({
      mailbox: this, message: { type, requestId: request.options.arrival.requestId }, delayMs,
    }));
  }

  private startQueueTimer(): void {
    this.queueTimer ??= this.options.timers.subscribe({ mailbox: this, message: { type: 'queue-check-due' as const }, delayMs: QUEUE_CHECK_INTERVAL_MS });
  }
}
