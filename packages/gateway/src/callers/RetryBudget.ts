import * as savedRetries from './SavedRetries.js';
import * as steadyRetries from './SteadyRetries.js';

// Part of the ratio that `SteadyRetries` uses; `SavedRetries` has the rest.
const STEADY_SHARE = 0.3;

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request of a caller. */
  readonly ratio: number;
  /** Additional retries allowed in each window, however few requests it has. */
  readonly slack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Why a request is sent again: its attempt has failed, or it has no answer yet. */
export type RetryPurpose = 'retry' | 'hedge';

/**
 * Limits the retries, including hedged attempts, that a VM sends to a service. In any window, all VMs together send at most
 * `ratio` x requests + the sum of their slacks, where the requests of all VMs are counted in that window or in the one that began half a
 * window earlier, whichever has more. That also holds if requests and failures move from VM to VM, since each part of the budget is bound
 * to the requests of one and the same window at all VMs.
 */
export class RetryBudget {
  private readonly steady: steadyRetries.SteadyRetries;

  private readonly saved: savedRetries.SavedRetries;

  /** @param options - Limits for this VM. */
  constructor(options: RetryBudgetOptions) {
    this.steady = new steadyRetries.SteadyRetries(RetryBudget.buildSteadyOptions(options));
    this.saved = new savedRetries.SavedRetries(RetryBudget.buildSavedOptions(options));
  }

  /**
   * Applies changed limits. Requests and retries that were counted before still count.
   * @param options - Limits for this VM.
   */
  applyOptions(options: RetryBudgetOptions): void {
    this.steady.applyOptions(RetryBudget.buildSteadyOptions(options));
    this.saved.applyOptions(RetryBudget.buildSavedOptions(options));
  }

  /**
   * Counts a request of a caller.
   * @param nowMs - Current time.
   */
  addRequest(nowMs: number): void {
    this.steady.addRequest(nowMs);
    this.saved.addRequest(nowMs);
  }

  /**
   * Consumes one retry of the budget. Returns false, and consumes nothing, if the budget is exhausted.
   * @param nowMs - Current time.
   * @param purpose - A hedge leaves what can be used at any time to retries, without which requests are refused.
   */
  take(nowMs: number, purpose: RetryPurpose = 'retry'): boolean {
    return purpose === 'retry'
      ? this.steady.take() || this.saved.take(nowMs)
      : this.saved.take(nowMs) || this.steady.take();
  }

  private static buildSteadyOptions({ ratio, slack, windowMs }: RetryBudgetOptions): steadyRetries.SteadyRetriesOptions {
    return { ratio: ratio * STEADY_SHARE, most: slack, windowMs };
  }

  private static buildSavedOptions({ ratio, windowMs }: RetryBudgetOptions): savedRetries.SavedRetriesOptions {
    return { ratio: ratio * (1 - STEADY_SHARE), windowMs };
  }
}
