import type * as attemptVerdict from './AttemptVerdict.js';

/** Decides whether a request may be sent to another instance after an attempt. */
export abstract class RetryPolicy {
  /**
   * Returns whether the request may be retried. A retry also needs a token of the retry budget.
   * @param verdict - Verdict of the last attempt.
   */
  abstract canRetry(verdict: attemptVerdict.AttemptVerdict): boolean;

  /**
   * Returns whether another attempt may run while the first one is in progress.
   */
  abstract canHedge(): boolean;
}
