import type * as attemptVerdict from './AttemptVerdict.js';
import * as retryPolicy from './RetryPolicy.js';

/** For operations: another instance is tried only with proof that the first one did not run the operation. */
export class NonIdempotentRetryPolicy extends retryPolicy.RetryPolicy {
  override canRetry(verdict: attemptVerdict.AttemptVerdict): boolean {
    return verdict.type === 'not-run' && verdict.cause !== 'cancelled';
  }

  override canHedge(): boolean {
    return false;
  }
}
