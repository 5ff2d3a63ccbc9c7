import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: retries an operation that may have run. */
export class UnsafeRetryPolicy extends core.callers.NonIdempotentRetryPolicy {
  override canRetry(verdict: core.callers.AttemptVerdict): boolean {
    return verdict.type !== 'answered';
  }
}
