import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as attemptDispatcher from './AttemptDispatcher.js';
import type * as deadlinePolicy from './DeadlinePolicy.js';
import * as forwardTable from './ForwardTable.js';
import type * as requestInProgress from './RequestInProgress.js';
import type * as requestLifecycle from './RequestLifecycle.js';
import type * as requestMessage from './RequestMessage.js';

/** Options of an `OperationRouter`. */
export interface OperationRouterOptions {
  readonly context: vms.VmContext;
  /** Mailbox of the request task. */
  readonly replyTo: tasks.Mailbox<requestMessage.RequestMessage>;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly dispatcher: attemptDispatcher.AttemptDispatcher;
}

/**
 * Starts requests. A request with an operation id (an operation) goes to the ledger first. The id names the home VM of the operation,
 * where it runs; the ledger records the operations whose home is this VM and returns the home VM of all others. A check at this VM may
 * reject the operation only after that: an earlier copy may have run, so `not-run` could be false.
 */
export class OperationRouter {
  private readonly forwards: forwardTable.ForwardTable;

  private readonly deadlines: deadlinePolicy.DeadlinePolicy;

  private readonly operationPolicies: Readonly<Record<contracts.RequestKind['repeatability'], contracts.OperationPolicy>>;

  /** @param options - Dependencies and the shared state of the request task. */
  constructor(private readonly options: OperationRouterOptions) {
    const { rules } = options.context;
    this.forwards = new forwardTable.ForwardTable(options.context);
    this.deadlines = rules.callers.createDeadlinePolicy();
    this.operationPolicies = {
      idempotent: rules.contracts.createOperationPolicy('idempotent'),
      'non-idempotent': rules.contracts.createOperationPolicy('non-idempotent'),
    };
  }

  /**
   * Starts a request: passes it to the ledger, rejects it or dispatches it.
   * @param request - Request that arrived.
   */
  begin(request: requestInProgress.RequestInProgress): void {
    const { context, replyTo, lifecycle } = this.options;
    const { requestId, origin } = request;
    const { operationId } = request.callerRequest;
    const step = this.chooseStep(request);
    if (operationId !== undefined && step === 'ledger') {
      context.mailboxes.ledger.post({
        type: 'begin', requestId, operationId, digest: request.digest, origin: origin.type, replyTo,
      });
    } else if (request.rejection !== undefined) lifecycle.endRequest(request, request.buildNotRunOutcome(request.rejection));
    else if (step === 'direct') this.options.dispatcher.begin(request);
    else context.mailboxes.ledger.post({ type: 'prefix-requested', requestId, replyTo });
  }

  /**
   * Continues a request after the decision of the ledger.
   * @param request - Request that was passed to the ledger.
   * @param reply - Decision of the ledger.
   */
  handleReply(request: requestInProgress.RequestInProgress, reply: contracts.LedgerReply): void {
    const { lifecycle, dispatcher } = this.options;
    switch (reply.type) {
      case 'run':
        request.markLedgerGrant('granted');
        if (request.senderState === 'disconnected') lifecycle.endRequest(request, request.buildNotRunOutcome('cancelled'));
        else if (request.rejection !== undefined) lifecycle.endRequest(request, request.buildNotRunOutcome(request.rejection));
        else dispatcher.begin(request);
        break;
      case 'joined':
        request.markPhase('joined');
        if (request.senderState === 'disconnected') lifecycle.endRequest(request, { type: 'unknown', reason: 'cancelled' });
        break;
      case 'settled':
        lifecycle.endRequest(request, reply.outcome);
        break;
      case 'forward':
        this.forward(request, reply.home);
        break;
      case 'prefix':
        lifecycle.endRequest(request, {
          type: 'not-run',
          reason: 'operation-id-required',
          retryAfterMs: 0,
          ...(reply.prefix === undefined ? {} : { operationPrefix: reply.prefix }),
        });
        break;
      // no default
    }
  }

  /**
   * Forwards a request again that has no answer after half of the time to its deadline. The home VM answers the second copy from its
   * ledger.
   * @param request - Request that was forwarded.
   */
  sendForwardAgain(request: requestInProgress.RequestInProgress): void {
    if (this.deadlines.canDispatch(this.options.context.timers.getNowMs(), request.deadlineAtMs)) this.forwards.sendAgain(request);
  }

  /**
   * Ends a forwarded request with the outcome of its home VM.
   * @param from - VM that sent the outcome.
   * @param forwardId - Id under which the request was forwarded.
   * @param outcome - Outcome at the home VM.
   */
  endForward(from: string, forwardId: string, outcome: contracts.Outcome): void {
    const request = this.forwards.take(from, forwardId);
    if (request !== undefined) this.options.lifecycle.endRequest(request, outcome);
  }

  /**
   * Ends all requests that were forwarded to an unreachable or unknown VM.
   * @param homeVm - Name of the home VM.
   * @param reason - Reason in the outcome `unknown` that the callers receive.
   */
  endForwards(homeVm: string, reason: 'home-unreachable' | 'home-gone'): void {
    this.forwards.takeAll(homeVm).forEach((request) => this.options.lifecycle.endRequest(request, { type: 'unknown', reason }));
  }

  /**
   * Reports the end of a request to the ledger: the outcome if the request ran its operation, or that it no longer waits if it joined
   * an operation in progress. Also removes the request from the forwarded ones. Must be called before the outcome is sent.
   * @param request - Request that ends.
   * @param outcome - Its outcome.
   */
  recordInLedger(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome): void {
    const { requestId } = request;
    const { operationId } = request.callerRequest;
    const { ledger } = this.options.context.mailboxes;
    if (request.phase === 'forwarded') {
      if (request.senderState === 'disconnected') this.forwards.cancel(request);
      else this.forwards.remove(request);
    }
    if (operationId === undefined) return;
    // The ledger ignores this message if it has already sent `settled` for the request.
    if (request.phase === 'joined') ledger.post({ type: 'leave', requestId, operationId });
    if (request.ledgerGrant !== 'granted') return;
    request.markLedgerGrant('recorded');
    ledger.post({ type: 'finish', operationId, outcome });
  }

  private chooseStep(request: requestInProgress.RequestInProgress): contracts.OperationStep {
    const kind = request.requestClass?.kind;
    // The home VM of an operation decides even if the kind is not declared at this VM.
    if (kind === undefined || request.origin.type === 'peer') return 'ledger';
    return this.operationPolicies[kind.repeatability].chooseStep(request.callerRequest.operationId);
  }

  // The outcome here is never `not-run`: an earlier copy of the request may be running at the home VM.
  private forward(request: requestInProgress.RequestInProgress, homeVm: string): void {
    const reason = this.getForwardFailure(request);
    if (reason !== undefined) {
      this.options.lifecycle.endRequest(request, { type: 'unknown', reason });
      return;
    }
    const { context, replyTo } = this.options;
    request.markPhase('forwarded');
    this.forwards.forward(request, homeVm);
    request.setSecondCopyTimer(context.timers.subscribe({
      mailbox: replyTo,
      message: { type: 'second-copy-due', requestId: request.requestId },
      delayMs: (request.deadlineAtMs - context.timers.getNowMs()) / 2,
    }));
  }

  private getForwardFailure(request: requestInProgress.RequestInProgress): contracts.UnknownReason | undefined {
    const { rejection, deadlineAtMs, senderState } = request;
    if (senderState === 'disconnected') return 'cancelled';
    if (rejection === 'no-configuration' || rejection === 'stopping' || rejection === 'overloaded') return rejection;
    return this.deadlines.canDispatch(this.options.context.timers.getNowMs(), deadlineAtMs) ? undefined : 'deadline-exceeded';
  }
}
