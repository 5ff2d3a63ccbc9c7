import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import type * as attemptInProgress from './AttemptInProgress.js';
import type * as attemptEvaluator from './AttemptEvaluator.js';
import type * as attemptTable from './AttemptTable.js';
import type * as attemptVerdict from './AttemptVerdict.js';
import type * as deadlinePolicy from './DeadlinePolicy.js';
import type * as hedgePolicy from './HedgePolicy.js';
import type * as requestLifecycle from './RequestLifecycle.js';
import type * as requestInProgress from './RequestInProgress.js';
import type * as requestMessage from './RequestMessage.js';
import type * as retryPolicy from './RetryPolicy.js';
import type * as serviceQueue from './ServiceQueue.js';
import type * as serviceQueueTable from './ServiceQueueTable.js';

// An upstream that sheds load gets worse when a request tries many instances.
const MAX_ATTEMPTS = 4;

/** Options of an `AttemptDispatcher`. */
export interface AttemptDispatcherOptions {
  readonly context: vms.VmContext;
  /** Mailbox of the request task. */
  readonly mailbox: tasks.Mailbox<requestMessage.RequestMessage>;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly table: attemptTable.AttemptTable;
  readonly queues: serviceQueueTable.ServiceQueueTable;
}

/** Sends the requests of the `RequestTask` to upstreams and decides about retries and hedges. */
export class AttemptDispatcher {
  private readonly interpreter: attemptEvaluator.AttemptEvaluator;

  private readonly deadlines: deadlinePolicy.DeadlinePolicy;

  private readonly hedges: hedgePolicy.HedgePolicy;

  private readonly retries: Readonly<Record<contracts.RequestKind['repeatability'], retryPolicy.RetryPolicy>>;

  private readonly context: vms.VmContext;

  private readonly table: attemptTable.AttemptTable;

  private readonly ender: requestLifecycle.RequestLifecycle;

  /** @param options - Parts of the request task. */
  constructor(private readonly options: AttemptDispatcherOptions) {
    this.context = options.context;
    this.table = options.table;
    this.ender = options.lifecycle;
    const rules = options.context.rules.callers;
    this.interpreter = rules.createAttemptEvaluator();
    this.deadlines = rules.createDeadlinePolicy();
    this.hedges = rules.createHedgePolicy();
    this.retries = {
      idempotent: rules.createRetryPolicy('idempotent'), 'non-idempotent': rules.createRetryPolicy('non-idempotent'),
    };
  }

  /**
   * Sends a request as soon as its service has capacity.
   * @param request - Request with its declarations.
   */
  begin(request: requestInProgress.RequestInProgress): void {
    const queue = this.options.queues.getQueue(request.request.service);
    queue.budget.refill();
    this.admit(request, queue);
  }

  /**
   * Sends an attempt that got an instance.
   * @param reply - Instance for the attempt.
   */
  handleAssigned(reply: Extract<upstreams.AcquireReply, { type: 'assigned' }>): void {
    const attempt = this.table.getAttempt(reply.attemptId);
    if (attempt === undefined) {
      this.table.releaseInstance(reply.attemptId, reply.instance.service);
      return;
    }
    const { request } = attempt;
    const queue = this.options.queues.getQueue(request.request.service);
    const nowMs = this.context.timers.getNowMs();
    if (attempt.state === 'released' || !this.deadlines.canDispatch(nowMs, request.deadlineAtMs)) {
      this.table.release(attempt, 'withdrawn');
      if (attempt.state === 'released') this.ender.removeRequest(request);
      else if (request.attempts.length === 0) this.ender.endRequest(request, request.buildNotRunOutcome('deadline-exceeded'));
    } else {
      queue.recordDispatch(nowMs);
      attempt.markSent(nowMs, reply.hedgeAfterMs);
      this.sendAttempt(attempt, reply.instance, nowMs);
      this.scheduleHedge(request, reply.hedgeAfterMs);
    }
    this.drainQueue(queue);
  }

  /**
   * Lets a request wait, or ends it, after an attempt got no instance.
   * @param reply - Why there is none.
   */
  handleUnavailable(reply: Extract<upstreams.AcquireReply, { type: 'unavailable' }>): void {
    const attempt = this.table.getAttempt(reply.attemptId);
    if (attempt === undefined) return;
    const { request } = attempt;
    const queue = this.options.queues.getQueue(request.request.service);
    const wasDraining = queue.isDispatching();
    // A reply to a retry or hedge does not say that the instances which it excluded are saturated.
    if (reply.cause === 'saturated' && attempt.role === 'only' && (wasDraining || request.triedInstances.length === 0)) {
      queue.markSaturated(this.context.timers.getNowMs());
    }
    this.table.remove(attempt);
    if (attempt.state === 'released') this.ender.removeRequest(request);
    else if (attempt.role === 'hedge') {
      queue.budget.release();
      if (request.attempts.length === 0) this.ender.endRequest(request, request.buildNotRunOutcome('no-instance'));
    } else if (reply.cause === 'none') this.ender.endRequest(request, request.buildNotRunOutcome('no-instance'));
    else if (wasDraining) {
      request.markPhase('queued');
      queue.admission.release(request);
    } else this.enqueue(request, queue);
    this.drainQueue(queue);
  }

  /**
   * Sends waiting requests.
   * @param service - Service that can take more work.
   */
  handleCapacity(service: string): void {
    const queue = this.options.queues.getQueue(service);
    if (!queue.isDispatching()) this.sendNext(queue);
  }

  /**
   * Ends an attempt and decides about its request.
   * @param attemptId - Id of the attempt.
   * @param result - How it ended.
   */
  handleEnded(attemptId: string, result: upstreams.AttemptResult): void {
    const attempt = this.table.getAttempt(attemptId);
    const { request } = attempt ?? {};
    if (attempt === undefined || attempt.state === 'acquiring' || request?.requestClass === undefined) return;
    const { contract, kind } = request.requestClass;
    const elapsedMs = this.table.computeElapsedMs(attempt);
    const meaning = this.interpreter.evaluateResult(result, contract, kind, elapsedMs);
    const observation = attempt.chooseObservation(result.type, meaning.observation);
    if (observation === 'on-time' || observation === 'late') this.options.queues.getQueue(contract.name).recordLatency(elapsedMs);
    this.table.release(attempt, observation, result.type === 'answered' ? result : undefined);
    if (attempt.state === 'released') this.ender.removeRequest(request);
    else this.resolveVerdict(request, attempt.limitVerdict(meaning.verdict));
  }

  /**
   * Streams or cancels an answer that exceeds the buffer limit.
   * @param attemptId - Id of the attempt.
   * @param echo - Comparison of the echoed request id with the one sent.
   */
  handleOverflow(attemptId: string, echo: 'matched' | 'mismatched' | 'absent'): void {
    const attempt = this.table.getAttempt(attemptId);
    if (attempt === undefined || attempt.state !== 'sent') return;
    const { request } = attempt;
    const contract = request.requestClass?.contract;
    if (contract === undefined || !this.interpreter.isMatchingAnswer(echo, contract)) attempt.markOverflow('mismatched');
    else if (request.origin.type !== 'caller' || request.senderState !== 'waiting') attempt.markOverflow('refused');
    else {
      attempt.markOverflow('streaming');
      request.attempts.filter((other) => other !== attempt).forEach((other) => this.table.cancel(other));
      request.markSenderState('streaming');
    }
    this.context.outbox.post({ type: attempt.overflow === 'streaming' ? 'stream-attempt' : 'cancel-attempt', attemptId });
  }

  /**
   * Sends a second attempt if the first one is still the only one.
   * @param request - Request whose hedge is due.
   */
  handleHedge(request: requestInProgress.RequestInProgress): void {
    const waits = request.phase === 'attempting' && request.senderState === 'waiting' && request.attempts.length === 1;
    if (!waits || !request.hasSentAttempt() || !this.options.queues.getQueue(request.request.service).budget.take()) return;
    this.table.acquire(request, 'hedge', this.options.mailbox);
  }

  private admit(request: requestInProgress.RequestInProgress, queue: serviceQueue.ServiceQueue): void {
    if (!queue.isOpen()) {
      this.enqueue(request, queue);
      return;
    }
    request.markPhase('attempting');
    this.table.acquire(request, 'only', this.options.mailbox);
  }

  private enqueue(request: requestInProgress.RequestInProgress, queue: serviceQueue.ServiceQueue): void {
    const nowMs = this.context.timers.getNowMs();
    const estimatedMs = queue.estimateTotalMs(request);
    if (estimatedMs > request.deadlineAtMs - nowMs) {
      this.ender.endRequest(request, request.buildNotRunOutcome('overloaded', Math.ceil(estimatedMs)));
      return;
    }
    request.markPhase('queued');
    const shed = queue.admission.insert(request);
    if (shed !== undefined) this.ender.endRequest(shed, shed.buildNotRunOutcome('overloaded', Math.ceil(estimatedMs)));
    if (queue.shouldRecheckCapacity(nowMs)) this.sendNext(queue);
  }

  private drainQueue(queue: serviceQueue.ServiceQueue): void {
    if (queue.isDispatching()) this.sendNext(queue);
  }

  private sendNext(queue: serviceQueue.ServiceQueue): void {
    const request = queue.takeNext();
    if (request === undefined) return;
    request.markPhase('attempting');
    this.table.acquire(request, 'only', this.options.mailbox);
  }

  private sendAttempt(attempt: attemptInProgress.AttemptInProgress, instance: upstreams.InstanceAddress, nowMs: number): void {
    const { request } = attempt;
    if (request.requestClass === undefined) return;
    request.addTriedInstance(instance.name);
    const deadlineMs = request.deadlineAtMs - nowMs;
    this.context.outbox.post({
      type: 'send-attempt',
      attemptId: attempt.attemptId,
      requestId: request.requestId,
      instance,
      contract: request.requestClass.contract,
      request: request.request,
      timeoutMs: request.ledgerGrant === 'none' ? deadlineMs : deadlineMs + this.deadlines.getCompletionGraceMs(),
      deadlineMs,
    });
  }

  private scheduleHedge(request: requestInProgress.RequestInProgress, hedgeAfterMs: number): void {
    if (request.triedInstances.length > 1 || !this.getRetryPolicy(request).canHedge()) return;
    const delayMs = this.hedges.computeDelayMs(hedgeAfterMs, request.deadlineAtMs - this.context.timers.getNowMs());
    if (delayMs === undefined) return;
    request.setHedgeTimer(this.context.timers.subscribe({
      mailbox: this.options.mailbox, message: { type: 'hedge-due', requestId: request.requestId }, delayMs,
    }));
  }

  private resolveVerdict(request: requestInProgress.RequestInProgress, verdict: attemptVerdict.AttemptVerdict): void {
    const isFinal = request.senderState !== 'waiting' || !this.getRetryPolicy(request).canRetry(verdict);
    if (isFinal) {
      this.ender.endRequest(request, request.buildOutcome(verdict), verdict.type === 'streamed' ? 'answered' : undefined);
      return;
    }
    request.recordVerdict(verdict);
    // A hedge or the attempt that it hedges may still bring the answer.
    if (request.attempts.length > 0) return;
    const queue = this.options.queues.getQueue(request.request.service);
    const hasTime = this.deadlines.canDispatch(this.context.timers.getNowMs(), request.deadlineAtMs);
    if (request.triedInstances.length < MAX_ATTEMPTS && hasTime && queue.budget.take()) this.admit(request, queue);
    else this.ender.endRequest(request, request.buildOutcome(verdict));
  }

  private getRetryPolicy(request: requestInProgress.RequestInProgress): retryPolicy.RetryPolicy {
    return this.retries[request.ledgerGrant === 'none' ? 'idempotent' : 'non-idempotent'];
  }
}
