import type * as contracts from '../contracts/index.js';
import type * as time from '../time/index.js';
import type * as attemptInProgress from './AttemptInProgress.js';
import type * as attemptVerdict from './AttemptVerdict.js';
import type * as callerRequest from './CallerRequest.js';
import type * as requestClassifier from './RequestClassifier.js';

/** Sender of a request, which receives its outcome: a caller, or a peer that forwarded the request. */
export type RequestOrigin =
  | { readonly type: 'caller' }
  | { readonly type: 'peer'; readonly from: string; readonly forwardId: string };

/** Options of a `RequestInProgress`. */
export interface RequestOptions {
  readonly requestId: string;
  readonly callerRequest: callerRequest.CallerRequest;
  readonly origin: RequestOrigin;
  /** Contract, kind and member that apply to the request; undefined if one of them is not declared. */
  readonly requestClass: requestClassifier.RequestClass | undefined;
  /** Reason for which this VM rejects the request; undefined if it serves the request. */
  readonly rejection: contracts.NotRunReason | undefined;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** State of one request from its arrival until its last attempt has ended. */
export class RequestInProgress {
  /**
   * - `ledger`: initial phase; an operation waits for the reply of the ledger.
   * - `joined`: waiting for the outcome of another request that runs the same operation.
   * - `forwarded`: waiting for the outcome from the home VM of the operation.
   * - `queued`: waiting for free capacity of the service.
   * - `attempting`: has attempts in progress.
   * - `ended`: the outcome is final; cancelled attempts may remain.
   */
  phase: 'ledger' | 'joined' | 'forwarded' | 'queued' | 'attempting' | 'ended' = 'ledger';

  /** Whether the sender of the request still waits for its outcome. `streaming`: the answer is being streamed to it. */
  senderState: 'waiting' | 'streaming' | 'answered' | 'disconnected' = 'waiting';

  /** `granted`: the ledger allowed this request to run its operation and waits for the outcome. `recorded`: the ledger has the outcome. */
  ledgerGrant: 'none' | 'granted' | 'recorded' = 'none';

  /** Whether the request has been counted in the evidence (service report) of its member. */
  evidence: 'pending' | 'posted' = 'pending';

  /**
   * What the timer of the request waits for: its deadline, the end of the grace period in which its operation may complete, or the
   * removal of its attempts without a result.
   */
  timerPurpose: 'deadline' | 'completion-grace' | 'attempt-removal' = 'deadline';

  /** Attempts that have not been removed. */
  attempts: attemptInProgress.AttemptInProgress[] = [];

  /** Names of the instances to which the request was sent. */
  readonly triedInstances: string[] = [];

  /** Reason why it is unknown whether the request ran; undefined unless an attempt ended with the verdict `unknown`. */
  unknownReason: contracts.UnknownReason | undefined;

  /** Complete answer with a server error, returned if no retry gives a better answer. */
  fallbackAnswer: contracts.UpstreamAnswer | undefined;

  timer: time.TimerSubscription | undefined;

  /** Timer of the second copy of the request: a hedge, or the copy that is forwarded to the home VM again. */
  secondCopyTimer: time.TimerSubscription | undefined;

  readonly requestId: string;

  readonly callerRequest: callerRequest.CallerRequest;

  readonly origin: RequestOrigin;

  readonly requestClass: requestClassifier.RequestClass | undefined;

  readonly rejection: contracts.NotRunReason | undefined;

  readonly arrivedAtMs: number;

  readonly deadlineAtMs: number;

  /** @param options - Request, its sender, its classification and its times. */
  constructor(options: RequestOptions) {
    this.requestId = options.requestId;
    this.callerRequest = options.callerRequest;
    this.origin = options.origin;
    this.requestClass = options.requestClass;
    this.rejection = options.rejection;
    this.arrivedAtMs = options.arrivedAtMs;
    this.deadlineAtMs = options.deadlineAtMs;
  }

  /** Name of the member whose queue the request waits in. */
  get memberName(): string {
    return this.callerRequest.member;
  }

  /** Share of the member in the capacity of a saturated service, relative to the other members. */
  get share(): number {
    return this.requestClass?.member.share ?? 1;
  }

  /** Priority class of the request in the queue of its member. */
  get priority(): contracts.RequestKind['priority'] {
    return this.requestClass?.kind.priority ?? 'background';
  }

  /** Digest by which the ledger recognises a retry: an operation id reused by another member or for another service is no retry. */
  get digest(): string {
    return `${this.callerRequest.service}/${this.callerRequest.member}/${this.callerRequest.digest}`;
  }

  /** Returns whether an attempt was sent whose result has not arrived. */
  hasSentAttempt(): boolean {
    return this.attempts.some((attempt) => attempt.state === 'sent');
  }

  /**
   * Sets the phase.
   * @param phase - New phase.
   */
  markPhase(phase: RequestInProgress['phase']): void {
    this.phase = phase;
  }

  /**
   * Sets the state of the sender.
   * @param senderState - New state.
   */
  markSenderState(senderState: RequestInProgress['senderState']): void {
    this.senderState = senderState;
  }

  /**
   * Sets the state of the grant by the ledger.
   * @param ledgerGrant - New state.
   */
  markLedgerGrant(ledgerGrant: RequestInProgress['ledgerGrant']): void {
    this.ledgerGrant = ledgerGrant;
  }

  /** Marks that the request has been counted in the evidence of its member. */
  markEvidencePosted(): void {
    this.evidence = 'posted';
  }

  /**
   * Replaces the timer of the request.
   * @param timerPurpose - What happens when the timer expires.
   * @param timer - Subscription of the timer.
   */
  setTimer(timerPurpose: RequestInProgress['timerPurpose'], timer: time.TimerSubscription): void {
    this.timer?.cancel();
    this.timerPurpose = timerPurpose;
    this.timer = timer;
  }

  /**
   * Sets the timer of the second copy of the request: a hedge, or the copy that is forwarded to the home VM again.
   * @param timer - Subscription of the timer.
   */
  setSecondCopyTimer(timer: time.TimerSubscription): void {
    this.secondCopyTimer = timer;
  }

  /**
   * Adds an attempt.
   * @param attempt - Attempt of this request.
   */
  addAttempt(attempt: attemptInProgress.AttemptInProgress): void {
    this.attempts.push(attempt);
  }

  /**
   * Removes an attempt.
   * @param attempt - Attempt that ended.
   */
  removeAttempt(attempt: attemptInProgress.AttemptInProgress): void {
    this.attempts = this.attempts.filter((other) => other !== attempt);
  }

  /**
   * Adds an instance to which the request was sent.
   * @param instance - Name of the instance.
   */
  addTriedInstance(instance: string): void {
    this.triedInstances.push(instance);
  }

  /**
   * Records the verdict of an attempt, for the outcome of the request after further attempts.
   * @param verdict - Verdict of an attempt that has ended.
   */
  recordVerdict(verdict: attemptVerdict.AttemptVerdict): void {
    if (verdict.type === 'answered') this.fallbackAnswer = verdict.answer;
    if (verdict.type === 'unknown') this.unknownReason = verdict.reason;
  }

  /**
   * Builds the outcome of the request from its last attempt.
   * @param verdict - Verdict of the last attempt.
   */
  buildOutcome(verdict: attemptVerdict.AttemptVerdict): contracts.Outcome {
    switch (verdict.type) {
      case 'answered':
        return verdict;
      case 'streamed':
        return { type: 'unknown', reason: 'answer-not-kept' };
      case 'not-run':
        return this.buildNotRunOutcome(verdict.cause === 'cancelled' ? 'cancelled' : 'refused-by-upstream');
      default:
        return this.buildUnknownOutcome(verdict.reason);
    }
  }

  /**
   * Builds the outcome of a request that is not sent again. The outcome is `not-run` only if no attempt can have run.
   * @param reason - Why the request is not sent.
   * @param retryAfterMs - Time after which the caller may retry, in milliseconds.
   */
  buildNotRunOutcome(reason: contracts.NotRunReason, retryAfterMs = DEFAULT_RETRY_AFTER_MS): contracts.Outcome {
    if (this.hasSentAttempt()) return this.buildUnknownOutcome(this.unknownReason ?? 'upstream-silent');
    return this.unknownReason === undefined && this.fallbackAnswer === undefined
      ? { type: 'not-run', reason, retryAfterMs }
      : this.buildUnknownOutcome(this.unknownReason ?? 'upstream-silent');
  }

  /**
   * Builds the outcome of a request that may have run: the recorded server error if there is one, else `unknown`.
   * @param reason - Why it is unknown whether the request ran.
   */
  buildUnknownOutcome(reason: contracts.UnknownReason): contracts.Outcome {
    return this.fallbackAnswer === undefined ? { type: 'unknown', reason } : { type: 'answered', answer: this.fallbackAnswer };
  }

  /** Cancels the timers of the request. */
  cancelTimers(): void {
    this.timer?.cancel();
    this.secondCopyTimer?.cancel();
  }
}
