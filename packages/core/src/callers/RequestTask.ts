import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import * as attemptDispatcher from './AttemptDispatcher.js';
import * as attemptTable from './AttemptTable.js';
import type * as callerRequest from './CallerRequest.js';
import type * as deadlinePolicy from './DeadlinePolicy.js';
import * as operationRouter from './OperationRouter.js';
import * as outcomeReporter from './OutcomeReporter.js';
import * as requestClassifier from './RequestClassifier.js';
import * as requestInProgress from './RequestInProgress.js';
import type * as requestLifecycle from './RequestLifecycle.js';
import type * as requestMessage from './RequestMessage.js';
import * as requestTable from './RequestTable.js';
import * as serviceQueueTable from './ServiceQueueTable.js';

const MAX_REQUESTS = 10_000;

// Time to wait for the result of a cancelled attempt, which the upstream may have to confirm, before the attempt is removed without one.
const CANCELLED_ATTEMPT_TIMEOUT_MS = 1_000;

/**
 * Owns the requests in progress, from their arrival until their last attempt has ended. Requests with an operation id (operations) run
 * at most once, on the home VM named in the id, whose ledger (record of operations and outcomes) prevents duplicates.
 */
export class RequestTask extends tasks.Task<requestMessage.RequestMessage> implements requestLifecycle.RequestLifecycle {
  private readonly requests = new requestTable.RequestTable(MAX_REQUESTS);

  private readonly classifier: requestClassifier.RequestClassifier;

  private readonly deadlines: deadlinePolicy.DeadlinePolicy;

  private readonly queues: serviceQueueTable.ServiceQueueTable;

  private readonly attemptTable: attemptTable.AttemptTable;

  private readonly dispatcher: attemptDispatcher.AttemptDispatcher;

  private readonly router: operationRouter.OperationRouter;

  private readonly reporter: outcomeReporter.OutcomeReporter;

  private state: 'serving' | 'stopping' | 'stopped' = 'serving';

  private stopReplyTo: tasks.Mailbox<{ readonly type: 'requests-ended' }> | undefined;

  /** @param context - Dependencies shared by the tasks of this VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
    const rules = context.rules.callers;
    this.classifier = new requestClassifier.RequestClassifier(rules);
    this.deadlines = rules.createDeadlinePolicy();
    this.queues = new serviceQueueTable.ServiceQueueTable(rules);
    this.attemptTable = new attemptTable.AttemptTable(context);
    this.dispatcher = new attemptDispatcher.AttemptDispatcher({
      context, mailbox: this, lifecycle: this, attemptTable: this.attemptTable, queues: this.queues,
    });
    this.router = new operationRouter.OperationRouter({
      context, replyTo: this, lifecycle: this, dispatcher: this.dispatcher,
    });
    this.reporter = new outcomeReporter.OutcomeReporter(context);
  }

  /** @internal */
  override handle(message: requestMessage.RequestMessage): void {
    switch (message.type) {
      case 'document-accepted':
        this.classifier.setDocument(message.document);
        break;
      case 'caller-request':
        this.beginRequest(message.requestId, message.request, { type: 'caller' });
        break;
      case 'caller-gone':
        this.handleSenderDisconnected(this.requests.getRequest(message.requestId));
        break;
      case 'forwarded': {
        const { from, forwardId, request } = message;
        this.beginRequest(RequestTask.formatForwardKey(message), request, { type: 'peer', from, forwardId });
        break;
      }
      case 'forward-cancelled':
        this.handleSenderDisconnected(this.requests.getRequest(RequestTask.formatForwardKey(message)));
        break;
      case 'forward-ended':
        this.router.endForward(message.from, message.forwardId, message.outcome);
        break;
      case 'peer-unreached':
        this.router.endForwards(message.to, 'home-unreachable');
        break;
      case 'peer-unknown':
        this.router.endForwards(message.to, 'home-gone');
        break;
      case 'assigned':
        this.dispatcher.handleAssigned(message);
        break;
      case 'unavailable':
        this.dispatcher.handleUnavailable(message);
        break;
      case 'capacity-freed':
        this.dispatcher.handleCapacityFreed(message.service);
        break;
      case 'attempt-ended':
        this.dispatcher.handleEnded(message.attemptId, message.result);
        break;
      case 'attempt-overflowed':
        this.dispatcher.handleOverflow(message.attemptId, message.echo);
        break;
      case 'status-requested':
        message.replyTo.post(this.buildStatus());
        break;
      case 'stop':
        this.state = 'stopping';
        this.stopReplyTo = message.replyTo;
        this.notifyIfStopped();
        break;
      default:
        this.resumeRequest(message);
        break;
    }
  }

  /** @internal */
  endRequest(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome, evidenceOutcome = outcome.type): void {
    if (request.phase === 'ended') return;
    if (request.phase === 'queued') this.queues.removeQueued(request);
    this.router.recordInLedger(request, outcome);
    request.markPhase('ended');
    request.cancelTimers();
    this.reporter.sendOutcome(request, outcome);
    this.reporter.countOutcome(request, evidenceOutcome);
    if (request.attempts.length === 0) {
      this.removeRequest(request);
      return;
    }
    this.attemptTable.cancelAll(request);
    this.startTimer(request, 'attempt-removal', CANCELLED_ATTEMPT_TIMEOUT_MS);
  }

  /** @internal */
  removeRequest(request: requestInProgress.RequestInProgress): void {
    if (request.phase !== 'ended' || request.attempts.length > 0) return;
    request.cancelTimers();
    this.requests.remove(request);
    this.notifyIfStopped();
  }

  private beginRequest(requestId: string, received: callerRequest.CallerRequest, origin: requestInProgress.RequestOrigin): void {
    // A duplicate of a forwarded request is dropped: its sender receives the outcome of the first copy.
    if (this.requests.getRequest(requestId) !== undefined) return;
    const classification = this.classifier.findClass(received);
    const requestClass = typeof classification === 'string' ? undefined : classification;
    const arrivedAtMs = this.context.timers.getNowMs();
    const deadlineMs = this.deadlines.computeDeadlineMs(received.deadlineMs, requestClass?.kind.deadlineMs);
    const request = new requestInProgress.RequestInProgress({
      requestId,
      callerRequest: received,
      origin,
      requestClass,
      rejection: this.getAdmissionRejection(received.member) ?? (typeof classification === 'string' ? classification : undefined),
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + deadlineMs,
    });
    this.requests.add(request);
    this.startTimer(request, 'deadline', deadlineMs);
    this.router.begin(request);
  }

  private resumeRequest(message: Extract<requestMessage.RequestMessage, { readonly requestId: string }>): void {
    const request = this.requests.getRequest(message.requestId);
    if (request === undefined) return;
    if (message.type === 'timer-expired') this.handleTimer(request);
    if (request.phase === 'ended' || message.type === 'timer-expired') return;
    if (message.type === 'second-copy-due' && request.phase === 'forwarded') this.router.sendForwardAgain(request);
    else if (message.type === 'second-copy-due') this.dispatcher.handleHedge(request);
    else if (message.type !== 'caller-request' && message.type !== 'caller-gone') this.router.handleReply(request, message);
  }

  private handleTimer(request: requestInProgress.RequestInProgress): void {
    // The ledger granted the operation, and the deadline of the caller has passed while no answer is being streamed.
    const canCompleteLate = request.ledgerGrant === 'granted' && request.timerPurpose === 'deadline' && request.senderState !== 'streaming';
    if (request.phase === 'ended') {
      this.attemptTable.endAll(request);
      this.removeRequest(request);
    } else if (request.phase === 'ledger') {
      // The reply of the ledger, which may grant the operation, may be queued already. The message is posted again, so that the reply is
      // handled first.
      this.post({ type: 'timer-expired', requestId: request.requestId });
    } else if (request.phase === 'joined') this.endRequest(request, { type: 'unknown', reason: 'deadline-exceeded' });
    else if (request.phase === 'forwarded') this.endRequest(request, { type: 'unknown', reason: 'home-unreachable' });
    else if (!request.hasSentAttempt()) this.endRequest(request, request.buildNotRunOutcome('deadline-exceeded'));
    else if (canCompleteLate) {
      // The attempt continues after the outcome is sent, so that a retry by the caller receives the answer of the operation.
      this.reporter.sendOutcome(request, { type: 'unknown', reason: 'deadline-exceeded' });
      this.reporter.countOutcome(request, 'unknown');
      this.startTimer(request, 'completion-grace', this.deadlines.getCompletionGraceMs());
    } else this.endRequest(request, request.buildUnknownOutcome(request.unknownReason ?? 'deadline-exceeded'));
  }

  private handleSenderDisconnected(request: requestInProgress.RequestInProgress | undefined): void {
    if (request === undefined || request.phase === 'ended') return;
    request.markSenderState('disconnected');
    // The ledger has not replied yet; its reply ends the request.
    if (request.phase === 'ledger') return;
    if (request.ledgerGrant === 'granted' && request.hasSentAttempt()) {
      this.attemptTable.sendCancellations(request);
      return;
    }
    const mayHaveRun = request.phase === 'joined' || request.phase === 'forwarded' || request.hasSentAttempt();
    this.endRequest(request, mayHaveRun ? { type: 'unknown', reason: 'cancelled' } : request.buildNotRunOutcome('cancelled'));
  }

  private startTimer(request: requestInProgress.RequestInProgress, timerPurpose: requestInProgress.RequestInProgress['timerPurpose'], delayMs: number): void {
    request.setTimer(timerPurpose, this.context.timers.subscribe({
      mailbox: this, message: { type: 'timer-expired', requestId: request.requestId }, delayMs,
    }));
  }

  private getAdmissionRejection(member: string): 'stopping' | 'overloaded' | undefined {
    if (this.state !== 'serving') return 'stopping';
    return this.requests.canAdmit(member) ? undefined : 'overloaded';
  }

  private notifyIfStopped(): void {
    if (this.state !== 'stopping' || this.requests.count() > 0) return;
    this.state = 'stopped';
    this.stopReplyTo?.post({ type: 'requests-ended' });
  }

  private buildStatus(): requestMessage.RequestStatus {
    const counts = this.reporter.getCounts();
    return {
      type: 'request-status',
      inFlight: this.requests.count(),
      queued: this.queues.countQueued(),
      answered: counts.answered,
      notRun: counts['not-run'],
      unknown: counts.unknown,
    };
  }

  // Request ids of callers contain no colon, so these keys cannot collide with them.
  private static formatForwardKey(forward: { readonly from: string; readonly forwardId: string }): string {
    return `peer:${forward.from}:${forward.forwardId}`;
  }
}
