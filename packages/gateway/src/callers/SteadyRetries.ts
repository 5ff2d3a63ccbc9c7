// Retries that a VM may send before it has got requests, so that the first request that fails is not lost. They count towards the slack of
// all VMs, so that there are few: many VMs may start or take over within a window.
const INITIAL_RETRIES = 1;

/** Options of `SteadyRetries`. */
export interface SteadyRetriesOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Most retries that can be saved up. */
  readonly most: number;
  /** Time without requests after which what was saved up is lost, in milliseconds. */
  readonly windowMs: number;
}

/** Token bucket that is filled by requests. In any time it allows at most `ratio` x the requests of that time and `most` retries more. */
export class SteadyRetries {
  private tokens: number;

  private latestRequestMs = -Infinity;

  /** @param options - Limits. */
  constructor(private options: SteadyRetriesOptions) {
    this.tokens = Math.min(INITIAL_RETRIES, options.most);
  }

  /**
   * Applies changed limits.
   * @param options - Limits.
   */
  applyOptions(options: SteadyRetriesOptions): void {
    this.options = options;
  }

  /**
   * Counts a request.
   * @param nowMs - Current time.
   */
  addRequest(nowMs: number): void {
    const { ratio, most, windowMs } = this.options;
    // Otherwise each VM that callers were ever sent to would keep retries for the moment at which it takes over.
    if (nowMs - this.latestRequestMs > windowMs) this.tokens = Math.min(this.tokens, INITIAL_RETRIES);
    this.latestRequestMs = nowMs;
    this.tokens = Math.min(most, this.tokens + ratio);
  }

  /** Consumes one retry. Returns false if none is left. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
