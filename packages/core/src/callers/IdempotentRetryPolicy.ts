import type * as attemptVerdict from './AttemptVerdict.js';
import * as retryPolicy from './RetryPolicy.js';

const FIRST_SERVER_ERROR_STATUS = 500;

/** For idempotent requests: allows a retry after a server error and after any attempt that returned no answer. */
export class IdempotentRetryPolicy extends retryPolicy.RetryPolicy {
  override canRetry(verdict: attemptVerdict.AttemptVerdict): boolean {
    return verdict.type === 'answered' ? verdict.answer.status >= FIRST_SERVER_ERROR_STATUS : verdict.type !== 'streamed';
  }

  override canHedge(): boolean {
    return true;
  }
}
