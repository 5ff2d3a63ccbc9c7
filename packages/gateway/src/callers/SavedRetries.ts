// Number of buckets of a window.
const WINDOW_BUCKETS = 20;
const HALF_WINDOW_BUCKETS = WINDOW_BUCKETS / 2;

/** Options of `SavedRetries`. */
export interface SavedRetriesOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * Allows retries for requests that came some time before, so that a sudden failure of instances can use what was saved up. Any window has
 * at most `ratio` x the requests of the window that began half its length earlier. A retry counts in all windows that contain it, also
 * those that end later, for which the requests so far must suffice.
 */
export class SavedRetries {
  private buckets: Bucket[] = [];

  /** @param options - Limits. */
  constructor(private options: SavedRetriesOptions) {}

  /**
   * Applies changed limits. A window of another length begins without requests.
   * @param options - Limits.
   */
  applyOptions(options: SavedRetriesOptions): void {
    if (options.windowMs !== this.options.windowMs) this.buckets = [];
    this.options = options;
  }

  /**
   * Counts a request.
   * @param nowMs - Current time.
   */
  addRequest(nowMs: number): void {
    this.getBucket(nowMs).requests += 1;
  }

  /**
   * Consumes one retry. Returns false, and consumes nothing, if it is not allowed.
   * @param nowMs - Current time.
   */
  take(nowMs: number): boolean {
    const bucket = this.getBucket(nowMs);
    // Windows that end within a bucket: the retries of all buckets that they touch, and the requests of those that lie in all of them.
    const ends = Array.from({ length: WINDOW_BUCKETS + 1 }, (_, offset) => bucket.index + offset);
    const isAllowed = ends.every((end) => {
      const retries = this.sum(end - WINDOW_BUCKETS, bucket.index, (counted) => counted.retries);
      const first = end - WINDOW_BUCKETS - HALF_WINDOW_BUCKETS + 1;
      const requests = this.sum(first, end - HALF_WINDOW_BUCKETS - 1, (counted) => counted.requests);
      return retries + 1 <= requests * this.options.ratio;
    });
    if (isAllowed) bucket.retries += 1;
    return isAllowed;
  }

  private sum(first: number, last: number, count: (bucket: Bucket) => number): number {
    return this.buckets.reduce((sum, bucket) => (bucket.index >= first && bucket.index <= last ? sum + count(bucket) : sum), 0);
  }

  private getBucket(nowMs: number): Bucket {
    const index = Math.floor((nowMs * WINDOW_BUCKETS) / this.options.windowMs);
    const latest = this.buckets[this.buckets.length - 1];
    if (latest?.index === index) return latest;
    const created: Bucket = { index, requests: 0, retries: 0 };
    this.buckets = [...this.buckets.filter((bucket) => bucket.index >= index - WINDOW_BUCKETS - HALF_WINDOW_BUCKETS), created];
    return created;
  }
}
