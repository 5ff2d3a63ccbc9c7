import type * as attemptVerdict from './AttemptVerdict.js';

/** Decides whether a request may be sent to another instance after an attempt. */
export abstract class RetryPolicy {
  /**
   * Tells whether another attempt is allowed. The retry budget is asked after that.
   * @param verdict - What the last attempt proved.
   */
  abstract canRetry(verdict: attemptVerdict.AttemptVerdict): boolean;

  /**
   * Tells whether another attempt may run while the first one is in progress.
   */
  abstract canHedge(): boolean;
}
