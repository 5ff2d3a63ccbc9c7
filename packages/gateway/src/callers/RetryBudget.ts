// Spans of the sum: the window of the rule is ten seconds, kept here in steps of one.
const BUCKET_MS = 1_000;

/** Options of a `RepeatBudget`. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed on top in each window. */
  readonly slack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Bounds the repeats that a VM sends to a service in any sliding window. */
export class RetryBudget {
  private readonly buckets: Bucket[] = [];

  /** @param options - Bounds of this VM's share. */
  constructor(private options: RetryBudgetOptions) {}

  /**
   * Takes changed bounds; what was counted stays counted.
   * @param options - Bounds of this VM's share.
   */
  applyOptions(options: RetryBudgetOptions): void {
    this.options = options;
  }

  /**
   * Counts a request of a caller.
   * @param nowMs - Present time.
   */
  addRequest(nowMs: number): void {
    this.getBucket(nowMs).requests += 1;
  }

  /**
   * Takes one repeat and tells whether it may be sent.
   * @param nowMs - Present time.
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
