const TOKENS_PER_REQUEST = 0.1;

const MAX_TOKENS = 10;

/** Token bucket that limits the retries and hedges of a service to a tenth of its requests. */
export class RetryBudget {
  // Starts empty, so that the limit of a tenth holds from the first request on.
  private tokens = 0;

  /** Adds the fraction of a token that one request earns. */
  refill(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
  }

  /** Consumes one token if there is one, and returns whether there was. */
  take(): boolean {
    // In floating point, adding 0.1 ten times gives slightly less than 1.
    if (this.tokens < 1 - 1e-9) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns the token of an attempt that was not sent. */
  release(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + 1);
  }
}
