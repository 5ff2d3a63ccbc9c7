import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import type * as attemptEvaluator from './AttemptEvaluator.js';
import type * as attemptInProgress from './AttemptInProgress.js';
import type * as attemptTable from './AttemptTable.js';
import type * as attemptVerdict from './AttemptVerdict.js';
import type * as deadlinePolicy from './DeadlinePolicy.js';
import type * as hedgePolicy from './HedgePolicy.js';
import type * as requestInProgress from './RequestInProgress.js';
import type * as requestLifecycle from './RequestLifecycle.js';
import type * as requestMessage from './RequestMessage.js';
import type * as retryPolicy from './RetryPolicy.js';
import type * as serviceQueue from './ServiceQueue.js';
import type * as serviceQueueTable from './ServiceQueueTable.js';

// More attempts per request would add load to an upstream that already sheds requests.
const MAX_ATTEMPTS = 4;

/** Options of an `AttemptDispatcher`. */
export interface AttemptDispatcherOptions {
  readonly context: vms.VmContext;
  /** Mailbox of the request task. */
  readonly mailbox: tasks.Mailbox<requestMessage.RequestMessage>;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly attemptTable: attemptTable.AttemptTable;
  readonly queues: serviceQueueTable.ServiceQueueTable;
}

/** Sends the requests of the `RequestTask` to upstream instances and decides when to retry or hedge them. */
export class AttemptDispatcher {
  private readonly evaluator: attemptEvaluator.AttemptEvaluator;

  private readonly deadlines: deadlinePolicy.DeadlinePolicy;

  private readonly hedgePolicy: hedgePolicy.HedgePolicy;

  private readonly retryPolicies: Readonly<Record<contracts.RequestKind['repeatability'], retryPolicy.RetryPolicy>>;

  private readonly context: vms.VmContext;

  private readonly attemptTable: attemptTable.AttemptTable;

  private readonly lifecycle: requestLifecycle.RequestLifecycle;

  /** @param options - Dependencies and the shared state of the request task. */
  constructor(private readonly options: AttemptDispatcherOptions) {
    this.context = options.context;
    this.attemptTable = options.attemptTable;
    this.lifecycle = options.lifecycle;
    const rules = options.context.rules.callers;
    this.evaluator = rules.createAttemptEvaluator();
    this.deadlines = rules.createDeadlinePolicy();
    this.hedgePolicy = rules.createHedgePolicy();
    this.retryPolicies = {
      idempotent: rules.createRetryPolicy('idempotent'), 'non-idempotent': rules.createRetryPolicy('non-idempotent'),
    };
  }

  /**
   * Sends a request, or queues it until its service has free capacity.
   * @param request - Request whose service and kind are declared.
   */
  begin(request: requestInProgress.RequestInProgress): void {
    const queue = this.options.queues.getQueue(request.callerRequest.service);
    queue.budget.refill();
    this.admit(request, queue);
  }

  /**
   * Sends an attempt to the instance that was assigned to it.
   * @param reply - Assigned instance.
   */
  handleAssigned(reply: Extract<upstreams.AcquireReply, { type: 'assigned' }>): void {
    const attempt = this.attemptTable.getAttempt(reply.attemptId);
    if (attempt === undefined) {
      this.attemptTable.releaseUnusedInstance(reply.attemptId, reply.instance.service);
      return;
    }
    const { request } = attempt;
    const queue = this.options.queues.getQueue(request.callerRequest.service);
    const nowMs = this.context.timers.getNowMs();
    if (attempt.state === 'cancelled' || !this.deadlines.canDispatch(nowMs, request.deadlineAtMs)) {
      this.attemptTable.endAttempt(attempt, 'withdrawn');
      if (attempt.state === 'cancelled') this.lifecycle.removeRequest(request);
      else if (request.attempts.length === 0) this.lifecycle.endRequest(request, request.buildNotRunOutcome('deadline-exceeded'));
    } else {
      queue.recordDispatch(nowMs);
      attempt.markSent(nowMs, reply.hedgeAfterMs);
      this.sendAttempt(attempt, reply.instance, nowMs);
      this.scheduleHedge(request, reply.hedgeAfterMs);
    }
    this.resumeDispatching(queue);
  }

  /**
   * Queues or ends a request after no instance could be assigned to its attempt.
   * @param reply - Why no instance was assigned.
   */
  handleUnavailable(reply: Extract<upstreams.AcquireReply, { type: 'unavailable' }>): void {
    const attempt = this.attemptTable.getAttempt(reply.attemptId);
    if (attempt === undefined) return;
    const { request } = attempt;
    const queue = this.options.queues.getQueue(request.callerRequest.service);
    const wasDispatching = queue.isDispatching();
    // Retries and hedges exclude the instances already tried, so `saturated` in reply to them says nothing about those instances.
    if (reply.cause === 'saturated' && attempt.role === 'primary' && (wasDispatching || request.triedInstances.length === 0)) {
      queue.markSaturated(this.context.timers.getNowMs());
    }
    this.attemptTable.remove(attempt);
    if (attempt.state === 'cancelled') this.lifecycle.removeRequest(request);
    else if (attempt.role === 'hedge') {
      queue.budget.release();
      if (request.attempts.length === 0) this.lifecycle.endRequest(request, request.buildNotRunOutcome('no-instance'));
    } else if (reply.cause === 'none') this.lifecycle.endRequest(request, request.buildNotRunOutcome('no-instance'));
    else if (wasDispatching) {
      request.markPhase('queued');
      queue.admission.insertFirst(request);
    } else this.enqueue(request, queue);
    this.resumeDispatching(queue);
  }

  /**
   * Starts to send the queued requests of a service.
   * @param service - Service that has free capacity again.
   */
  handleCapacityFreed(service: string): void {
    const queue = this.options.queues.getQueue(service);
    if (!queue.isDispatching()) this.sendNext(queue);
  }

  /**
   * Ends an attempt, then ends or retries its request.
   * @param attemptId - Id of the attempt.
   * @param result - How it ended.
   */
  handleEnded(attemptId: string, result: upstreams.AttemptResult): void {
    const attempt = this.attemptTable.getAttempt(attemptId);
    const { request } = attempt ?? {};
    if (attempt === undefined || attempt.state === 'acquiring' || request?.requestClass === undefined) return;
    const { contract, kind } = request.requestClass;
    const elapsedMs = this.attemptTable.computeElapsedMs(attempt);
    const evaluation = this.evaluator.evaluateResult(result, contract, kind, elapsedMs);
    const observation = attempt.chooseObservation(result.type, evaluation.observation);
    if (observation === 'on-time' || observation === 'late') this.options.queues.getQueue(contract.name).recordLatency(elapsedMs);
    this.attemptTable.endAttempt(attempt, observation, result.type === 'answered' ? result : undefined);
    if (attempt.state === 'cancelled') this.lifecycle.removeRequest(request);
    else this.resolveVerdict(request, attempt.limitVerdict(evaluation.verdict));
  }

  /**
   * Streams an answer that exceeds the buffer limit to the caller, or cancels its attempt.
   * @param attemptId - Id of the attempt.
   * @param echo - Result of comparing the echoed request id (the id of the attempt) with the one sent; `absent` if none was echoed.
   */
  handleOverflow(attemptId: string, echo: 'matched' | 'mismatched' | 'absent'): void {
    const attempt = this.attemptTable.getAttempt(attemptId);
    if (attempt === undefined || attempt.state !== 'sent') return;
    const { request } = attempt;
    const contract = request.requestClass?.contract;
    if (contract === undefined || !this.evaluator.isMatchingAnswer(echo, contract)) attempt.markOverflow('mismatched');
    else if (request.origin.type !== 'caller' || request.senderState !== 'waiting') attempt.markOverflow('refused');
    else {
      attempt.markOverflow('streaming');
      request.attempts.filter((other) => other !== attempt).forEach((other) => this.attemptTable.cancel(other));
      request.markSenderState('streaming');
    }
    this.context.outbox.post({ type: attempt.overflow === 'streaming' ? 'stream-attempt' : 'cancel-attempt', attemptId });
  }

  /**
   * Sends a hedge if the first attempt is still the only one and the retry budget allows it.
   * @param request - Request whose hedge delay has passed.
   */
  handleHedge(request: requestInProgress.RequestInProgress): void {
    const isFirstPending = request.phase === 'attempting' && request.senderState === 'waiting' && request.attempts.length === 1;
    if (!isFirstPending || !request.hasSentAttempt() || !this.options.queues.getQueue(request.callerRequest.service).budget.take()) return;
    this.attemptTable.acquire(request, 'hedge', this.options.mailbox);
  }

  private admit(request: requestInProgress.RequestInProgress, queue: serviceQueue.ServiceQueue): void {
    if (!queue.isOpen()) {
      this.enqueue(request, queue);
      return;
    }
    request.markPhase('attempting');
    this.attemptTable.acquire(request, 'primary', this.options.mailbox);
  }

  private enqueue(request: requestInProgress.RequestInProgress, queue: serviceQueue.ServiceQueue): void {
    const nowMs = this.context.timers.getNowMs();
    const estimatedTotalMs = queue.estimateTotalMs(request);
    if (estimatedTotalMs > request.deadlineAtMs - nowMs) {
      this.lifecycle.endRequest(request, request.buildNotRunOutcome('overloaded', Math.ceil(estimatedTotalMs)));
      return;
    }
    request.markPhase('queued');
    const shed = queue.admission.insert(request);
    if (shed !== undefined) this.lifecycle.endRequest(shed, shed.buildNotRunOutcome('overloaded', Math.ceil(estimatedTotalMs)));
    if (queue.shouldRecheckCapacity(nowMs)) this.sendNext(queue);
  }

  private resumeDispatching(queue: serviceQueue.ServiceQueue): void {
    if (queue.isDispatching()) this.sendNext(queue);
  }

  private sendNext(queue: serviceQueue.ServiceQueue): void {
    const request = queue.takeNext();
    if (request === undefined) return;
    request.markPhase('attempting');
    this.attemptTable.acquire(request, 'primary', this.options.mailbox);
  }

  private sendAttempt(attempt: attemptInProgress.AttemptInProgress, instance: upstreams.InstanceAddress, nowMs: number): void {
    const { request } = attempt;
    if (request.requestClass === undefined) return;
    request.addTriedInstance(instance.name);
    const remainingMs = request.deadlineAtMs - nowMs;
    this.context.outbox.post({
      type: 'send-attempt',
      attemptId: attempt.attemptId,
      requestId: request.requestId,
      instance,
      contract: request.requestClass.contract,
      request: request.callerRequest,
      timeoutMs: request.ledgerGrant === 'none' ? remainingMs : remainingMs + this.deadlines.getCompletionGraceMs(),
      deadlineMs: remainingMs,
      deadlineAtMs: request.deadlineAtMs,
    });
  }

  private scheduleHedge(request: requestInProgress.RequestInProgress, hedgeAfterMs: number): void {
    if (request.triedInstances.length > 1 || !this.getRetryPolicy(request).canHedge()) return;
    const delayMs = this.hedgePolicy.computeDelayMs(hedgeAfterMs, request.deadlineAtMs - this.context.timers.getNowMs());
    if (delayMs === undefined) return;
    request.setSecondCopyTimer(this.context.timers.subscribe({
      mailbox: this.options.mailbox, message: { type: 'second-copy-due', requestId: request.requestId }, delayMs,
    }));
  }

  private resolveVerdict(request: requestInProgress.RequestInProgress, verdict: attemptVerdict.AttemptVerdict): void {
    const isFinal = request.senderState !== 'waiting' || !this.getRetryPolicy(request).canRetry(verdict);
    if (isFinal) {
      this.lifecycle.endRequest(request, request.buildOutcome(verdict), verdict.type === 'streamed' ? 'answered' : undefined);
      return;
    }
    request.recordVerdict(verdict);
    // Another attempt of the request (the hedge, or the attempt that it hedges) is still in progress and may return an answer.
    if (request.attempts.length > 0) return;
    const queue = this.options.queues.getQueue(request.callerRequest.service);
    const hasTime = this.deadlines.canDispatch(this.context.timers.getNowMs(), request.deadlineAtMs);
    if (request.triedInstances.length < MAX_ATTEMPTS && hasTime && queue.budget.take()) this.admit(request, queue);
    else this.lifecycle.endRequest(request, request.buildOutcome(verdict));
  }

  private getRetryPolicy(request: requestInProgress.RequestInProgress): retryPolicy.RetryPolicy {
    return this.retryPolicies[request.ledgerGrant === 'none' ? 'idempotent' : 'non-idempotent'];
  }
}
