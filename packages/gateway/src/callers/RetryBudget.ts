// Width of the buckets in which requests and retries are counted: one second, for a window of ten seconds.
const BUCKET_MS = 1_000;

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request of a caller. */
  readonly ratio: number;
  /** Additional retries allowed in each window, however few requests it has. */
  readonly slack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Limits the retries, including hedged attempts, that a VM sends to a service in any sliding window. */
export class RetryBudget {
  private readonly buckets: Bucket[] = [];

  /** @param options - Limits for this VM. */
  constructor(private options: RetryBudgetOptions) {}

  /**
   * Applies changed limits. Requests and retries that were counted before still count.
   * @param options - Limits for this VM.
   */
  applyOptions(options: RetryBudgetOptions): void {
    this.options = options;
  }

  /**
   * Counts a request of a caller.
   * @param nowMs - Current time.
   */
  addRequest(nowMs: number): void {
    this.getBucket(nowMs).requests += 1;
  }

  /**
   * Consumes one retry of the budget. Returns false, and consumes nothing, if the budget is exhausted.
   * @param nowMs - Current time.
   */
  take(nowMs: number): boolean {
    const bucket = this.getBucket(nowMs);
    const requests = this.buckets.reduce((sum, counted) => sum + counted.requests, 0);
    const retries = this.buckets.reduce((sum, counted) => sum + counted.retries, 0);
    if (retries + 1 > requests * this.options.ratio + this.options.slack) return false;
    bucket.retries += 1;
    return true;
  }

  private getBucket(nowMs: number): Bucket {
    const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    const latest = this.buckets[this.buckets.length - 1];
    if (latest?.startMs === startMs) return latest;
    while (this.buckets[0] !== undefined && this.buckets[0].startMs <= startMs - this.options.windowMs) this.buckets.shift();
    const created: Bucket = { startMs, requests: 0, retries: 0 };
    this.buckets.push(created);
    return created;
  }
}
