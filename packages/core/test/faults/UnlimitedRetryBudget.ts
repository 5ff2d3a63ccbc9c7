import * as core from '@tamarackferry/core';

/** Fault: bounds no retries. */
export class UnlimitedRetryBudget extends core.callers.RetryBudget {
  override take(): boolean {
    return true;
  }
}
