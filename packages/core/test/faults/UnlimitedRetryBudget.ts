import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: does not limit the number of retries. */
export class UnlimitedRetryBudget extends core.callers.RetryBudget {
  override take(): boolean {
    return true;
  }
}
