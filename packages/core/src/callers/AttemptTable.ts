import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import * as attemptInProgress from './AttemptInProgress.js';
import type * as requestInProgress from './RequestInProgress.js';

const NO_EXCLUSIONS: readonly string[] = [];

/** Load and draining state that an instance reported with its answer. */
export interface InstanceReport {
  readonly load: number | undefined;
  readonly drain: 'leaving' | undefined;
}

const NO_REPORT: InstanceReport = { load: undefined, drain: undefined };

/**
 * Attempts of all requests in progress. For each attempt with an assigned instance, exactly one message `observed` is sent to the
 * upstream task.
 */
export class AttemptTable {
  private readonly attempts = new Map<string, attemptInProgress.AttemptInProgress>();

  private readonly idPrefix: string;

  private nextAttempt = 0;

  /** @param context - Dependencies shared by the tasks of this VM. */
  constructor(private readonly context: vms.VmContext) {
    // Upstreams echo the id, so it must be unique across all VMs and their restarts.
    this.idPrefix = `${context.identity.name}.${context.identity.incarnation}`;
  }

  /**
   * Creates an attempt and requests an instance for it from the upstream task.
   * @param request - Request to send.
   * @param role - `hedge` if the attempt runs concurrently with an earlier one.
   * @param replyTo - Mailbox for the reply.
   */
  acquire(
    request: requestInProgress.RequestInProgress,
    role: 'primary' | 'hedge',
    replyTo: Extract<upstreams.UpstreamMessage, { type: 'acquire' }>['replyTo'],
  ): void {
    const attemptId = `${this.idPrefix}.${this.nextAttempt}`;
    this.nextAttempt += 1;
    const attempt = new attemptInProgress.AttemptInProgress(attemptId, request, role);
    this.attempts.set(attemptId, attempt);
    request.addAttempt(attempt);
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service: request.callerRequest.service,
      message: {
        type: 'acquire', attemptId, excluded: request.triedInstances.length === 0 ? NO_EXCLUSIONS : [...request.triedInstances], replyTo,
      },
    });
  }

  /**
   * Gets an attempt that has not ended.
   * @param attemptId - Id of the attempt.
   */
  getAttempt(attemptId: string): attemptInProgress.AttemptInProgress | undefined {
    return this.attempts.get(attemptId);
  }

  /**
   * Removes an attempt that has no assigned instance.
   * @param attempt - Attempt to remove.
   */
  remove(attempt: attemptInProgress.AttemptInProgress): void {
    this.attempts.delete(attempt.attemptId);
    attempt.request.removeAttempt(attempt);
  }

  /**
   * Removes an attempt and reports its result to the upstream task, which frees the slot of the instance.
   * @param attempt - Attempt with an assigned instance.
   * @param observation - What the attempt shows about the health of the instance.
   * @param report - Values that the instance reported.
   */
  endAttempt(attempt: attemptInProgress.AttemptInProgress, observation: upstreams.Observation, report = NO_REPORT): void {
    this.remove(attempt);
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service: attempt.request.callerRequest.service,
      message: {
        type: 'observed',
        attemptId: attempt.attemptId,
        observation,
        latencyMs: this.computeElapsedMs(attempt),
        load: report.load,
        drain: report.drain,
      },
    });
  }

  /**
   * Cancels an attempt that its request no longer needs. The attempt remains in the table until its result arrives.
   * @param attempt - Attempt to cancel.
   */
  cancel(attempt: attemptInProgress.AttemptInProgress): void {
    if (attempt.state === 'sent') {
      this.context.outbox.post({ type: 'cancel-attempt', attemptId: attempt.attemptId });
      const onTimeMs = attempt.request.requestClass?.kind.onTimeMs ?? Infinity;
      const slowThresholdMs = Math.min(onTimeMs, attempt.slowAfterMs);
      attempt.markCancelled(this.computeElapsedMs(attempt) >= slowThresholdMs ? 'timed-out' : 'withdrawn');
      return;
    }
    attempt.markCancelled('withdrawn');
  }

  /**
   * Computes the time since an attempt was sent, in milliseconds.
   * @param attempt - Attempt with an assigned instance.
   */
  computeElapsedMs(attempt: attemptInProgress.AttemptInProgress): number {
    return attempt.sentAtMs === undefined ? 0 : this.context.timers.getNowMs() - attempt.sentAtMs;
  }

  /**
   * Cancels the attempts of a request that has ended.
   * @param request - Request that ended.
   */
  cancelAll(request: requestInProgress.RequestInProgress): void {
    request.attempts.filter((attempt) => attempt.state !== 'cancelled').forEach((attempt) => this.cancel(attempt));
  }

  /**
   * Cancels an operation at its upstream without discarding the result, which the ledger records.
   * @param request - Operation whose caller has disconnected.
   */
  sendCancellations(request: requestInProgress.RequestInProgress): void {
    request.attempts.filter((attempt) => attempt.state === 'sent')
      .forEach(({ attemptId }) => this.context.outbox.post({ type: 'cancel-attempt', attemptId }));
  }

  /**
   * Ends the attempts of a request that ended, without waiting for their results.
   * @param request - Request that ended.
   */
  endAll(request: requestInProgress.RequestInProgress): void {
    [...request.attempts].forEach((attempt) => {
      if (attempt.sentAtMs === undefined) this.remove(attempt);
      else this.endAttempt(attempt, attempt.observationWithoutAnswer);
    });
  }

  /**
   * Releases an instance that was assigned after its attempt had been removed.
   * @param attemptId - Id of the attempt.
   * @param service - Service of the instance.
   */
  releaseUnusedInstance(attemptId: string, service: string): void {
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service,
      message: {
        type: 'observed', attemptId, observation: 'withdrawn', latencyMs: 0, ...NO_REPORT,
      },
    });
  }
}
