import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import type * as callerRequest from './CallerRequest.js';
import type * as requestMessage from './RequestMessage.js';

interface RequestInProgress {
  readonly requestId: string;
  readonly request: callerRequest.CallerRequest;
  readonly contract: contracts.ServiceContract;
  readonly deadlineAtMs: number;
}

/** Owns the requests in progress from their arrival to the answer of the caller. */
export class RequestTask extends tasks.Task<requestMessage.RequestMessage> {
  private document: contracts.DeploymentDocument | undefined;

  private readonly requests = new Map<string, RequestInProgress>();

  private nextAttempt = 0;

  private readonly attempts = new Map<string, { readonly request: RequestInProgress; readonly startedAtMs: number }>();

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: requestMessage.RequestMessage): void {
    switch (message.type) {
      case 'document-accepted':
        this.document = message.document;
        break;
      case 'caller-request':
        this.beginRequest(message.requestId, message.request);
        break;
      case 'assigned':
        this.sendAttempt(message);
        break;
      case 'unavailable':
        this.settleAttempt(message.attemptId, { type: 'not-run', reason: 'no-instance', retryAfterMs: 1_000 });
        break;
      case 'attempt-ended':
        this.endAttempt(message.attemptId, message.result);
        break;
      case 'stop':
        message.replyTo.post({ type: 'requests-ended' });
        break;
      case 'status-requested':
        message.replyTo.post({
          type: 'request-status', inFlight: this.requests.size, queued: 0, answered: 0, notRun: 0, unknown: 0,
        });
        break;
      default:
        break;
    }
  }

  private beginRequest(requestId: string, request: callerRequest.CallerRequest): void {
    const contract = this.document?.services.find((service) => service.name === request.service);
    if (contract === undefined) {
      const reason = this.document === undefined ? 'no-configuration' : 'unknown-service';
      this.context.outbox.post({ type: 'caller-answer', requestId, outcome: { type: 'not-run', reason, retryAfterMs: 1_000 } });
      return;
    }
    const deadlineAtMs = this.context.timers.getNowMs() + (request.deadlineMs ?? 1_000);
    const inProgress = {
      requestId, request, contract, deadlineAtMs,
    };
    this.requests.set(requestId, inProgress);
    const attemptId = `${requestId}/${this.nextAttempt}`;
    this.nextAttempt += 1;
    this.attempts.set(attemptId, { request: inProgress, startedAtMs: this.context.timers.getNowMs() });
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service: contract.name,
      message: {
        type: 'acquire', attemptId, excluded: [], replyTo: this,
      },
    });
  }

  private sendAttempt(assigned: Extract<upstreams.AcquireReply, { type: 'assigned' }>): void {
    const attempt = this.attempts.get(assigned.attemptId);
    if (attempt === undefined) return;
    const { requestId, request, contract } = attempt.request;
    this.context.outbox.post({
      type: 'send-attempt',
      attemptId: assigned.attemptId,
      requestId,
      instance: assigned.instance,
      contract,
      request,
      timeoutMs: attempt.request.deadlineAtMs - this.context.timers.getNowMs(),
    });
  }

  private endAttempt(attemptId: string, result: upstreams.AttemptResult): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) return;
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service: attempt.request.contract.name,
      message: {
        type: 'observed',
        attemptId,
        observation: result.type === 'answered' ? 'on-time' : 'failed',
        latencyMs: this.context.timers.getNowMs() - attempt.startedAtMs,
        load: undefined,
        drain: undefined,
      },
    });
    this.settleAttempt(attemptId, result.type === 'answered'
      ? { type: 'answered', answer: result.answer }
      : { type: 'unknown', reason: 'upstream-reset' });
  }

  private settleAttempt(attemptId: string, outcome: contracts.Outcome): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) return;
    this.attempts.delete(attemptId);
    this.requests.delete(attempt.request.requestId);
    this.context.outbox.post({ type: 'caller-answer', requestId: attempt.request.requestId, outcome });
  }
}
