const TOKENS_PER_REQUEST = 0.1;

const MAX_TOKENS = 10;

/** Bounds the retries and hedges of a service to a tenth of its requests (token bucket). */
export class RetryBudget {
  // Starts empty, so that the bound of a tenth holds from the first request on.
  private tokens = 0;

  /** Adds the share of one request. */
  refill(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
  }

  /** Takes one token and tells whether there was one. */
  take(): boolean {
    // Ten times 0.1 is slightly less than 1 in floating point.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  /** Gives back the token of an attempt that was not sent. */
  release(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + 1);
  }
}
