import type * as attemptVerdict from './AttemptVerdict.js';
import * as retryPolicy from './RetryPolicy.js';

/** For operations: allows a retry only if it is proven that the instance did not run the operation and the attempt was not cancelled. */
export class NonIdempotentRetryPolicy extends retryPolicy.RetryPolicy {
  override canRetry(verdict: attemptVerdict.AttemptVerdict): boolean {
    return verdict.type === 'not-run' && verdict.cause !== 'cancelled';
  }

  override canHedge(): boolean {
    return false;
  }
}
