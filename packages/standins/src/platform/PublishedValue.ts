interface Publication {
  readonly atMs: number;
  readonly revision: number;
  readonly text: string;
}

const MAX_HISTORY = 100;

/** Value that the platform publishes, with its past, so that it can be served late. */
export class PublishedValue {
  private history: Publication[];

  private lagMs = 0;

  /** @param text - Text before the first publication. */
  constructor(text: string) {
    this.history = [{ atMs: -Infinity, revision: 0, text }];
  }

  /**
   * Publishes a new text.
   * @param text - Text to publish.
   * @param nowMs - Present time.
   */
  publish(text: string, nowMs: number): void {
    const revision = (this.history.at(-1)?.revision ?? 0) + 1;
    this.history = [...this.history.slice(-MAX_HISTORY), { atMs: nowMs, revision, text }];
  }

  /**
   * Sets the time by which the value lags.
   * @param lagMs - Time in milliseconds.
   */
  setLagMs(lagMs: number): void {
    this.lagMs = lagMs;
  }

  /** Gets the time by which the value lags. */
  getLagMs(): number {
    return this.lagMs;
  }

  /**
   * Gets what is visible at a time.
   * @param nowMs - Present time.
   */
  getCurrent(nowMs: number): { readonly revision: number; readonly text: string } {
    return this.history.findLast((publication) => publication.atMs <= nowMs - this.lagMs) ?? this.history[0]!;
  }
}
