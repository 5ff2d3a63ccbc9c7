// Parts of the window. A part is counted until all of it has left the window, so that the sum never is too small.
const SLICES = 25;

// Parts that count as recent.
const RECENT_SLICES = 5;

/** Counts arrivals in a sliding window, in constant memory and time. */
export class ArrivalWindow {
  private readonly counts = new Float64Array(SLICES + 1);

  private readonly sliceMs: number;

  // Number of the slice that holds the latest time.
  private latest = -Infinity;

  private total = 0;

  /** @param windowMs - Length of the window, in milliseconds. */
  constructor(windowMs: number) {
    this.sliceMs = windowMs / SLICES;
  }

  /**
   * Adds arrivals, or removes them if the count is negative. Arrivals that have left the window are ignored.
   * @param count - Number of arrivals.
   * @param atMs - Time of the arrivals, not after the current time.
   * @param nowMs - Current time.
   */
  add(count: number, atMs: number, nowMs: number): void {
    this.advance(nowMs);
    const slice = Math.floor(atMs / this.sliceMs);
    if (slice < this.latest - SLICES) return;
    this.counts[ArrivalWindow.getPosition(slice)]! += count;
    this.total += count;
  }

  /**
   * Adds arrivals of a past time whose single times are unknown.
   * @param count - Number of arrivals.
   * @param recent - Number of them within the latest part of the window, as of `countRecent`.
   * @param spanMs - Length of the past time; what is longer than the window is left out.
   * @param nowMs - Current time.
   */
  addPast(count: number, recent: number, spanMs: number, nowMs: number): void {
    const parts = Math.max(1, Math.min(SLICES, Math.ceil(spanMs / this.sliceMs)));
    const recentParts = Math.min(parts, RECENT_SLICES);
    const recentCount = parts > recentParts ? Math.min(count, recent) : count;
    for (let part = 0; part < recentParts; part += 1) this.add(recentCount / recentParts, nowMs - part * this.sliceMs, nowMs);
    for (let part = recentParts; part < parts; part += 1) {
      this.add((count - recentCount) / (parts - recentParts), nowMs - part * this.sliceMs, nowMs);
    }
  }

  /**
   * Counts the arrivals in the latest part of the window, so that another VM need not take a burst for an even rate.
   * @param nowMs - Current time.
   */
  countRecent(nowMs: number): number {
    this.advance(nowMs);
    let count = 0;
    for (let part = 0; part < RECENT_SLICES; part += 1) count += this.counts[ArrivalWindow.getPosition(this.latest - part)]!;
    return Math.max(0, count);
  }

  /**
   * Counts the arrivals in the window.
   * @param nowMs - Current time.
   */
  count(nowMs: number): number {
    this.advance(nowMs);
    return Math.max(0, this.total);
  }

  /**
   * Computes the time until the given number of arrivals have left the window, in milliseconds.
   * @param count - Number of arrivals.
   * @param nowMs - Current time.
   */
  computeReleaseMs(count: number, nowMs: number): number {
    this.advance(nowMs);
    let left = count;
    for (let slice = this.latest - SLICES; slice <= this.latest; slice += 1) {
      left -= this.counts[ArrivalWindow.getPosition(slice)]!;
      if (left <= 1e-9) return Math.max(0, (slice + SLICES + 1) * this.sliceMs - nowMs);
    }
    return SLICES * this.sliceMs;
  }

  private advance(nowMs: number): void {
    const current = Math.floor(nowMs / this.sliceMs);
    if (current <= this.latest) return;
    const first = Math.max(this.latest + 1, current - SLICES);
    for (let slice = first; slice <= current; slice += 1) {
      const position = ArrivalWindow.getPosition(slice);
      this.total -= this.counts[position]!;
      this.counts[position] = 0;
    }
    this.latest = current;
  }

  private static getPosition(slice: number): number {
    return ((slice % (SLICES + 1)) + SLICES + 1) % (SLICES + 1);
  }
}
