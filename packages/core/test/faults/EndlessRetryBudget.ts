import * as core from '@tamarackferry/core';

/** Fault: bounds no retries. */
export class EndlessRetryBudget extends core.callers.RetryBudget {
  override take(): boolean {
    return true;
  }
}
