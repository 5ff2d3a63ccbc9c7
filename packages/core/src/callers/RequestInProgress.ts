import type * as contracts from '../contracts/index.js';
import type * as time from '../time/index.js';
import type * as attemptInProgress from './AttemptInProgress.js';
import type * as attemptVerdict from './AttemptVerdict.js';
import type * as callerRequest from './CallerRequest.js';
import type * as requestClassifier from './RequestClassifier.js';

/** Where a request came from and where its outcome goes. */
export type RequestOrigin =
  | { readonly type: 'caller' }
  | { readonly type: 'peer'; readonly from: string; readonly forwardId: string };

/** Options of a `RequestInProgress`. */
export interface RequestOptions {
  readonly requestId: string;
  readonly request: callerRequest.CallerRequest;
  readonly origin: RequestOrigin;
  /** Declarations that the request falls under, if there are any. */
  readonly requestClass: requestClassifier.RequestClass | undefined;
  /** Why this VM does not serve the request; undefined if it does. */
  readonly rejection: contracts.NotRunReason | undefined;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** State of one request from its arrival until its last attempt has ended. */
export class RequestInProgress {
  phase: 'ledger' | 'joined' | 'forwarded' | 'queued' | 'attempting' | 'ended' = 'ledger';

  /** Whether the sender of the request still waits for its outcome. */
  senderState: 'waiting' | 'streaming' | 'answered' | 'disconnected' = 'waiting';

  /** `held`: the ledger allowed this request to run its operation and waits for the outcome. */
  ledgerGrant: 'none' | 'held' | 'recorded' = 'none';

  /** Whether the evidence of the member counts the request already. */
  evidence: 'pending' | 'posted' = 'pending';

  /** Bound that the timer of the request stands for. */
  timerPurpose: 'deadline' | 'completion-grace' | 'attempt-release' = 'deadline';

  attempts: attemptInProgress.AttemptInProgress[] = [];

  /** Names of the instances that the request was sent to. */
  readonly triedInstances: string[] = [];

  /** Why the request may have run; undefined while it certainly has not. */
  unknownReason: contracts.UnknownReason | undefined;

  /** Complete answer with a server error, for the case that no retry gives a better one. */
  fallbackAnswer: contracts.UpstreamAnswer | undefined;

  timer: time.TimerSubscription | undefined;

  hedgeTimer: time.TimerSubscription | undefined;

  readonly requestId: string;

  readonly request: callerRequest.CallerRequest;

  readonly origin: RequestOrigin;

  readonly requestClass: requestClassifier.RequestClass | undefined;

  readonly rejection: contracts.NotRunReason | undefined;

  readonly arrivedAtMs: number;

  readonly deadlineAtMs: number;

  /** @param options - Request, origin and times. */
  constructor(options: RequestOptions) {
    this.requestId = options.requestId;
    this.request = options.request;
    this.origin = options.origin;
    this.requestClass = options.requestClass;
    this.rejection = options.rejection;
    this.arrivedAtMs = options.arrivedAtMs;
    this.deadlineAtMs = options.deadlineAtMs;
  }

  /** Name of the member for admission. */
  get memberName(): string {
    return this.request.member;
  }

  /** Share of the member for admission. */
  get share(): number {
    return this.requestClass?.member.share ?? 1;
  }

  /** Class for admission. */
  get priority(): contracts.RequestKind['priority'] {
    return this.requestClass?.kind.priority ?? 'background';
  }

  /** Identifies the request for the ledger: the same id from another member or for another service is no repeat. */
  get digest(): string {
    return `${this.request.service}/${this.request.member}/${this.request.digest}`;
  }

  /** Tells whether an attempt was sent whose end is not known. */
  hasSentAttempt(): boolean {
    return this.attempts.some((attempt) => attempt.state === 'sent');
  }

  /**
   * Changes the phase.
   * @param phase - New phase.
   */
  markPhase(phase: RequestInProgress['phase']): void {
    this.phase = phase;
  }

  /**
   * Changes the state of the sender.
   * @param senderState - New state.
   */
  markSenderState(senderState: RequestInProgress['senderState']): void {
    this.senderState = senderState;
  }

  /**
   * Changes the permission of the ledger.
   * @param ledgerGrant - New permission.
   */
  markLedgerGrant(ledgerGrant: RequestInProgress['ledgerGrant']): void {
    this.ledgerGrant = ledgerGrant;
  }

  /** Marks that the evidence of the member counts the request. */
  markEvidencePosted(): void {
    this.evidence = 'posted';
  }

  /**
   * Replaces the timer of the request.
   * @param timerPurpose - What the timer stands for.
   * @param timer - Subscription.
   */
  setTimer(timerPurpose: RequestInProgress['timerPurpose'], timer: time.TimerSubscription): void {
    this.timer?.cancel();
    this.timerPurpose = timerPurpose;
    this.timer = timer;
  }

  /**
   * Sets the timer of the second attempt.
   * @param timer - Subscription.
   */
  setHedgeTimer(timer: time.TimerSubscription): void {
    this.hedgeTimer = timer;
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
   * Adds an instance that the request was sent to.
   * @param instance - Name of the instance.
   */
  addTriedInstance(instance: string): void {
    this.triedInstances.push(instance);
  }

  /**
   * Records what an attempt proved, for the outcome after further attempts.
   * @param verdict - What the attempt proved.
   */
  recordVerdict(verdict: attemptVerdict.AttemptVerdict): void {
    if (verdict.type === 'answered') this.fallbackAnswer = verdict.answer;
    if (verdict.type === 'unknown') this.unknownReason = verdict.reason;
  }

  /**
   * Makes the outcome of the request from its last attempt.
   * @param verdict - What the attempt proved.
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
   * Makes the outcome of a request that is not sent again. It is "not run" only if no attempt may have run.
   * @param reason - Why the request is not sent.
   * @param retryAfterMs - Time after which the caller may try again, in milliseconds.
   */
  buildNotRunOutcome(reason: contracts.NotRunReason, retryAfterMs = DEFAULT_RETRY_AFTER_MS): contracts.Outcome {
    if (this.hasSentAttempt()) return this.buildUnknownOutcome(this.unknownReason ?? 'upstream-silent');
    return this.unknownReason === undefined && this.fallbackAnswer === undefined
      ? { type: 'not-run', reason, retryAfterMs }
      : this.buildUnknownOutcome(this.unknownReason ?? 'upstream-silent');
  }

  /**
   * Makes the outcome of a request that may have run.
   * @param reason - Why it is not known whether it ran.
   */
  buildUnknownOutcome(reason: contracts.UnknownReason): contracts.Outcome {
    return this.fallbackAnswer === undefined ? { type: 'unknown', reason } : { type: 'answered', answer: this.fallbackAnswer };
  }

  /** Ends the timers of the request. */
  cancelTimers(): void {
    this.timer?.cancel();
    this.hedgeTimer?.cancel();
  }
}
