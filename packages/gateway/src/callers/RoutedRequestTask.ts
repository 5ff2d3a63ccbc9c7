import * as core from '@tamarackferry/core';

import type * as configuration from '../contracts/Configuration.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import * as admissionPolicy from './AdmissionPolicy.js';
import * as attemptSender from './AttemptSender.js';
import * as evidencePublisher from './EvidencePublisher.js';
import type * as gatewayOutput from './GatewayOutput.js';
import * as outcomeReporter from './OutcomeReporter.js';
import type * as requestArrival from './RequestArrival.js';
import type * as quotaShare from './QuotaShare.js';
import * as requestLog from './RequestLog.js';
import * as requestQuotas from './RequestQuotas.js';
import * as requestResolver from './RequestResolver.js';
import * as requestTimers from './RequestTimers.js';
import type * as retryBudget from './RetryBudget.js';
import type * as routedRequest from './RoutedRequest.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';
import type * as routedService from './RoutedService.js';
import * as serviceConditionLog from './ServiceConditionLog.js';
import * as serviceTable from './ServiceTable.js';
import * as settlementPolicy from './SettlementPolicy.js';
import * as startupHoldQueue from './StartupHoldQueue.js';
import * as statementLog from './StatementLog.js';
import * as stopSchedule from './StopSchedule.js';
import * as waitingPolicy from './WaitingPolicy.js';
import * as waitingRequests from './WaitingRequests.js';

// A hedged attempt that would occupy a slot which a waiting request needs is considered again after this time.
const HEDGE_RECHECK_INTERVAL_MS = 40;

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
  /** Bounds within which the quotas of tenants must hold over all VMs together. */
  readonly quotas: quotaShare.QuotaBounds;
}

/** Owns the requests of callers from arrival to outcome. Decides where each is sent, whether it waits and whether it is retried. */
export class RoutedRequestTask extends core.tasks.Task<routedRequestMessage.RoutedRequestMessage> {
  private readonly requests = new Map<string, routedRequest.RoutedRequest>();

  private arrivals = 0;

  // Requests that wait for the first configuration.
  private readonly heldRequests = new startupHoldQueue.StartupHoldQueue();

  private readonly stop = new stopSchedule.StopSchedule();

  private readonly quotas: requestQuotas.RequestQuotas;

  private readonly services: serviceTable.ServiceTable;

  private readonly resolver: requestResolver.RequestResolver;

  private readonly requestTimers: requestTimers.RequestTimers;

  private readonly sender: attemptSender.AttemptSender;

  private readonly evidence: evidencePublisher.EvidencePublisher;

  private readonly waiting: waitingRequests.WaitingRequests;

  private readonly requestLog: requestLog.RequestLog;

  private readonly statementLog: statementLog.StatementLog;

  private readonly conditionLog: serviceConditionLog.ServiceConditionLog;

  private readonly reporter: outcomeReporter.OutcomeReporter;

  /** @param options - Dependencies and settings of the task. */
  constructor(private readonly options: RoutedRequestTaskOptions) {
    super(options.scheduler);
    this.quotas = new requestQuotas.RequestQuotas({ ...options, mailbox: this });
    const admission = new admissionPolicy.AdmissionPolicy();
    this.statementLog = new statementLog.StatementLog(options.outbox);
    this.services = new serviceTable.ServiceTable({ ...options, statementLog: this.statementLog });
    this.resolver = new requestResolver.RequestResolver(options.random, this.stop);
    this.requestTimers = new requestTimers.RequestTimers(options.timers, this);
    this.requestLog = new requestLog.RequestLog(options.outbox, options.timers);
    this.conditionLog = new serviceConditionLog.ServiceConditionLog(options.outbox);
    this.reporter = new outcomeReporter.OutcomeReporter({ ...options, log: this.requestLog, admission });
    this.sender = new attemptSender.AttemptSender({
      ...options, requestTimers: this.requestTimers, services: this.services, onSend: (request) => this.handleSent(request),
    });
    this.evidence = new evidencePublisher.EvidencePublisher({
      ...options, mailbox: this, services: this.services, countOpen: () => this.sender.countOpen(),
    });
    this.waiting = new waitingRequests.WaitingRequests({
      timers: options.timers,
      mailbox: this,
      services: this.services,
      policy: new waitingPolicy.WaitingPolicy(admission),
      sender: this.sender,
      onRefuse: (request) => this.refuse(request, 'overloaded'),
    });
  }

  /** Counts the requests in progress. */
  countRequests(): number {
    return this.requests.size + this.heldRequests.count();
  }

  /** Counts all requests that have arrived. */
  countArrivals(): number {
    return this.arrivals;
  }

  /** Counts the requests that wait for a free slot. */
  countWaiting(): number {
    return this.waiting.count();
  }

  /** Counts the instances that state a limit. */
  countLimitedInstances(): number {
    const nowMs = this.options.timers.getNowMs();
    return this.services.listServices().reduce((sum, serviceEntry) => sum + serviceEntry.pool.countLimited(nowMs), 0);
  }

  /** Counts the instances that are published as ready and have stated to this VM that they are leaving. */
  countLeavingInstances(): number {
    return this.services.listServices().reduce((sum, serviceEntry) => sum + serviceEntry.pool.countLeaving(), 0);
  }

  /** Counts the tenants that exceed their quotas at this VM. */
  countExceededQuotas(): number {
    return this.quotas.countExceeded();
  }

  /** @internal */
  override handle(message: routedRequestMessage.RoutedRequestMessage): void {
    switch (message.type) {
      case 'request-arrived':
        this.arrivals += 1;
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
        this.resolver.setCatalogState(message.state);
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
      case 'peer-usage':
        this.quotas.recordPeerUsage(message.notice);
        break;
      case 'listing-changed':
        this.quotas.setListed(message.listed);
        break;
      case 'quota-due':
        this.quotas.handleDue();
        break;
      case 'gossip-due':
        this.evidence.handleDue();
        break;
      case 'queue-check-due':
        this.waiting.handleCheck();
        break;
      // no default
    }
  }

  private beginRequest(arrival: requestArrival.RequestArrival): void {
    if (!this.resolver.hasConfiguration() && this.enqueueHeld(arrival) === 'held') return;
    const nowMs = this.options.timers.getNowMs();
    const decision = this.resolver.resolve(arrival, nowMs);
    if (decision.type === 'refused') {
      this.reporter.refuseArrival(arrival, decision.reason);
      return;
    }
    const { request } = decision;
    if (!this.takeQuota(request, nowMs)) return;
    const serviceEntry = this.getService(request);
    serviceEntry.recordArrival(request, nowMs);
    this.requests.set(arrival.requestId, request);
    this.requestTimers.subscribe(request, 'deadline-reached', request.computeRemainingMs(nowMs));
    if (serviceEntry.queue.countServedBefore(request, nowMs) === 0 && this.sender.sendWaiting(request, serviceEntry)) return;
    this.enqueueRequest(request, serviceEntry);
  }

  private takeQuota(request: routedRequest.RoutedRequest, nowMs: number): boolean {
    const decision = this.quotas.take(request);
    if (decision.type === 'admitted') return true;
    // The service does not serve the request, so that most of its sound instances must be used meanwhile.
    this.getService(request).outcomes.record('unserved', nowMs);
    this.reporter.refuseOverQuota(request, decision.retryAfterMs);
    return false;
  }

  private handleSent(request: routedRequest.RoutedRequest): void {
    this.evidence.schedule();
    this.quotas.recordSent(request);
  }

  private beginStopping(acceptsUntilMs: number, endsAtMs: number): void {
    this.stop.begin(acceptsUntilMs, endsAtMs);
    // Requests that could take longer than the process runs get an outcome before it ends.
    this.requests.forEach((request) => this.requestTimers.subscribe(request, 'deadline-reached', endsAtMs - this.options.timers.getNowMs()));
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
    if (this.waiting.add(request, serviceEntry) === 'wait') return;
    this.refuse(request, serviceEntry.pool.countSlots() === 0 ? 'no-instance' : 'overloaded');
  }

  private handleHedge(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request === undefined || request.state !== 'sent') return;
    // A hedged attempt would occupy a slot that a waiting request needs.
    if (this.getService(request).queue.countWaiting() > 0) this.requestTimers.subscribe(request, 'hedge-due', HEDGE_RECHECK_INTERVAL_MS);
    else this.sendAgain(request, 'hedge');
  }

  private handleAttemptEnd(attemptId: string, ending: attemptEnding.AttemptEnding): void {
    const ended = this.sender.endAttempt(attemptId, ending);
    if (ended === undefined) return;
    const { request, attempt } = ended;
    this.recordAttemptEnd(request, attempt, ending);
    this.getService(request).slotReleaseRate.record(this.options.timers.getNowMs());
    this.requestLog.logAttempt(request, attempt, ending);
    if (settlementPolicy.SettlementPolicy.isFailure(ending)) this.evidence.publish();
    if (request.state !== 'ended') this.settleRequest(request, ending);
    this.waiting.serve(this.getService(request));
  }

  private recordAttemptEnd(
    request: routedRequest.RoutedRequest,
    attempt: routedRequest.RoutedAttempt,
    ending: attemptEnding.AttemptEnding,
  ): void {
    const { attemptId, instance, record } = attempt;
    const nowMs = this.options.timers.getNowMs();
    const previousPerSecond = instance.getLimit();
    instance.endAttempt(attemptId, ending, nowMs);
    if (settlementPolicy.SettlementPolicy.isLeaving(ending)) this.services.recordLeaving(record, nowMs);
    this.statementLog.logLimit(instance, previousPerSecond, 'answer');
    this.quotas.recordEnding(request, attempt, ending);
    const limit = ending.type === 'answered' || ending.type === 'not-run' ? ending.statement.limit : undefined;
    if (limit?.type === 'unreadable') this.statementLog.logUnreadable(instance, limit.text);
    // The other VMs must know of a new limit before they send the instance more than it accepts.
    if (instance.getLimit() !== previousPerSecond) this.evidence.publish();
  }

  private settleRequest(request: routedRequest.RoutedRequest, ending: attemptEnding.AttemptEnding): void {
    const settlement = settlementPolicy.SettlementPolicy.decide(request.options.route.kind, ending);
    if (ending.type === 'answered') {
      if (settlement === 'answer') {
        this.answer(request, ending.answer);
        return;
      }
      request.failedAnswer = ending.answer;
    }
    if (settlementPolicy.SettlementPolicy.canHaveRun(ending)) request.execution = 'may-have-run';
    if (settlement !== 'give-up' && (request.hasOpenAttempt() || this.retryRequest(request, settlement))) return;
    this.refuse(request, request.execution === 'may-have-run' ? 'unknown' : 'overloaded');
  }

  private retryRequest(request: routedRequest.RoutedRequest, settlement: 'answer' | 'retry' | 'retry-or-wait' | 'resume'): boolean {
    if (settlement === 'resume') return this.resumeRequest(request);
    return this.sendAgain(request, 'retry') || (settlement === 'retry-or-wait' && this.enqueueRetry(request));
  }

  // An instance that could not be reached has received nothing, so the request is sent or queued as if it had just arrived.
  private resumeRequest(request: routedRequest.RoutedRequest): boolean {
    if (request.countSent() > 0) return this.sendAgain(request, 'retry');
    if (!waitingPolicy.WaitingPolicy.hasAttemptsLeft(request) || !this.resolver.isAuthorized(request)) return false;
    const serviceEntry = this.getService(request);
    if (!this.sender.sendWaiting(request, serviceEntry)) this.enqueueRequest(request, serviceEntry);
    return true;
  }

  private sendAgain(request: routedRequest.RoutedRequest, purpose: retryBudget.RetryPurpose): boolean {
    return this.resolver.isAuthorized(request) && this.sender.sendAgain(request, this.getService(request), purpose);
  }

  // If only instances that probably fail have free capacity, the retry waits for another one: an instance that fails at once always has
  // free slots, and would use up the retries.
  private enqueueRetry(request: routedRequest.RoutedRequest): boolean {
    return waitingPolicy.WaitingPolicy.canRetry(request, this.options.timers.getNowMs())
      && this.waiting.add(request, this.getService(request)) === 'wait';
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
    const serviceEntry = this.getService(request);
    const nowMs = this.options.timers.getNowMs();
    const requestsAhead = serviceEntry.queue.countServedBefore(request, nowMs);
    const load = waitingPolicy.WaitingPolicy.buildLoad(request, serviceEntry, requestsAhead, nowMs);
    this.reporter.refuse(request, reason, load, serviceEntry.pool.countLimited(nowMs), nowMs);
    this.recordOutcome(request, 'unserved');
    this.endRequest(request);
  }

  private recordOutcome(request: routedRequest.RoutedRequest, outcome: 'served' | 'unserved'): void {
    const nowMs = this.options.timers.getNowMs();
    const serviceEntry = this.getService(request);
    serviceEntry.outcomes.record(outcome, nowMs);
    this.conditionLog.update(request.options.service, serviceEntry, this.services.computeEvidenceAgeMs(nowMs), nowMs);
  }

  private endRequest(request: routedRequest.RoutedRequest): void {
    this.quotas.release(request);
    if (request.state === 'waiting') this.getService(request).queue.remove(request);
    if (request.countSent() === 0) this.getService(request).queue.release(request);
    request.state = 'ended';
    request.cancelTimers();
    this.requests.delete(request.options.arrival.requestId);
    this.sender.cancelAttempts(request);
  }

  private applyConfiguration(applied: configuration.Configuration): void {
    this.resolver.applyConfiguration(applied);
    this.services.applyConfiguration(applied);
    this.quotas.applyTenants(applied.tenants);
    this.options.outbox.post({ type: 'limits-changed', limits: applied.limits });
    this.refuseUnauthorized();
  }

  // A key that was revoked must not have any more requests sent, also those that were accepted before.
  private refuseUnauthorized(): void {
    this.waiting.listWaiting()
      .filter((request) => !this.resolver.isAuthorized(request))
      .forEach((request) => this.refuse(request, request.execution === 'not-run' ? 'unknown-key' : 'unknown'));
  }

  private applyInstances(records: readonly instanceRecord.InstanceRecord[]): void {
    this.services.applyInstances(records, this.options.timers.getNowMs());
    // The first instances arrive directly after the first configuration, so held requests can be routed now.
    if (this.resolver.hasConfiguration()) this.heldRequests.takeAll().forEach((arrival) => this.beginRequest(arrival));
    this.waiting.serveAll();
  }

  private getService(request: routedRequest.RoutedRequest): routedService.RoutedService {
    return this.services.getService(request.options.service);
  }
}
