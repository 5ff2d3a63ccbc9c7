import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import * as attemptInProgress from './AttemptInProgress.js';
import type * as requestInProgress from './RequestInProgress.js';

const NO_EXCLUSIONS: readonly string[] = [];

/** Values that an instance reported with its answer. */
export interface InstanceReport {
  readonly load: number | undefined;
  readonly drain: 'leaving' | undefined;
}

const NO_REPORT: InstanceReport = { load: undefined, drain: undefined };

/** Attempts of all requests. Each one that got an instance is reported by exactly one `observed`. */
export class AttemptTable {
  private readonly attempts = new Map<string, attemptInProgress.AttemptInProgress>();

  private readonly idPrefix: string;

  private nextAttempt = 0;

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    // Upstreams echo the id, so it is unique over all VMs and their restarts.
    this.idPrefix = `${context.identity.name}.${context.identity.incarnation}`;
  }

  /**
   * Asks for an instance for a request.
   * @param request - Request to send.
   * @param role - Whether the attempt runs beside an earlier one.
   * @param replyTo - Receives the reply.
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
      service: request.request.service,
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
   * Removes an attempt that got no instance.
   * @param attempt - Attempt to remove.
   */
  remove(attempt: attemptInProgress.AttemptInProgress): void {
    this.attempts.delete(attempt.attemptId);
    attempt.request.removeAttempt(attempt);
  }

  /**
   * Removes an attempt and reports its end to the upstream task.
   * @param attempt - Attempt that got an instance.
   * @param observation - What it says about the instance.
   * @param report - Values that the instance reported.
   */
  release(attempt: attemptInProgress.AttemptInProgress, observation: upstreams.Observation, report = NO_REPORT): void {
    this.remove(attempt);
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service: attempt.request.request.service,
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
   * Cancels an attempt whose request does not need it any more. It is released by its result.
   * @param attempt - Attempt to cancel.
   */
  cancel(attempt: attemptInProgress.AttemptInProgress): void {
    if (attempt.state === 'sent') {
      this.context.outbox.post({ type: 'cancel-attempt', attemptId: attempt.attemptId });
      const onTimeMs = attempt.request.requestClass?.kind.onTimeMs ?? Infinity;
      const slowThresholdMs = Math.min(onTimeMs, attempt.slowAfterMs);
      attempt.markReleased(this.computeElapsedMs(attempt) >= slowThresholdMs ? 'timed-out' : 'withdrawn');
      return;
    }
    attempt.markReleased('withdrawn');
  }

  /**
   * Computes the time since an attempt was sent, in milliseconds.
   * @param attempt - Attempt that got an instance.
   */
  computeElapsedMs(attempt: attemptInProgress.AttemptInProgress): number {
    return attempt.sentAtMs === undefined ? 0 : this.context.timers.getNowMs() - attempt.sentAtMs;
  }

  /**
   * Cancels the attempts of a request that has ended.
   * @param request - Request that ended.
   */
  cancelAll(request: requestInProgress.RequestInProgress): void {
    request.attempts.filter((attempt) => attempt.state !== 'released').forEach((attempt) => this.cancel(attempt));
  }

  /**
   * Asks the upstreams to cancel an operation whose result is still needed.
   * @param request - Operation whose caller has gone.
   */
  requestCancellation(request: requestInProgress.RequestInProgress): void {
    request.attempts.filter((attempt) => attempt.state === 'sent')
      .forEach(({ attemptId }) => this.context.outbox.post({ type: 'cancel-attempt', attemptId }));
  }

  /**
   * Releases the attempts of a request that ended, without waiting for their results.
   * @param request - Request that ended.
   */
  releaseAll(request: requestInProgress.RequestInProgress): void {
    [...request.attempts].forEach((attempt) => {
      if (attempt.sentAtMs === undefined) this.remove(attempt);
      else this.release(attempt, attempt.observationWithoutAnswer);
    });
  }

  /**
   * Gives an instance back that was assigned to an attempt that has ended.
   * @param attemptId - Id of the attempt.
   * @param service - Service of the instance.
   */
  releaseInstance(attemptId: string, service: string): void {
    this.context.mailboxes.upstreams.post({
      type: 'to-service',
      service,
      message: {
        type: 'observed', attemptId, observation: 'withdrawn', latencyMs: 0, ...NO_REPORT,
      },
    });
  }
}
