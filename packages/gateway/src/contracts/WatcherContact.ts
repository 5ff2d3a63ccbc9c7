import type * as catalogTiming from './CatalogTiming.js';

// A follower reads the store itself if no VM has confirmed its catalog for this time, although watchers send heartbeats. A VM that has just
// started may not know the watchers yet, and gets the same time.
const FOLLOWER_TIMEOUT_MS = 3_000;

// A follower whose watchers have lost the store, or send updates that it cannot read, reads the store itself for this time before it relies
// on them again.
const DIRECT_READ_SPAN_MS = 6_000;

/** Decides whether a follower can rely on the watchers of its place for changes of the catalog. */
export class WatcherContact {
  private startedAtMs = 0;

  // Time of the latest heartbeat of a watcher of the place.
  private heardAtMs = -Infinity;

  // The VM reads the store itself until this time.
  private directReadUntilMs = -Infinity;

  /** @param timing - Delays of the catalog. */
  constructor(private readonly timing: catalogTiming.CatalogTiming) {}

  /**
   * Records the start of this VM.
   * @param nowMs - Current time.
   */
  recordStart(nowMs: number): void {
    this.startedAtMs = nowMs;
  }

  /**
   * Records a heartbeat of a watcher of the place.
   * @param nowMs - Current time.
   */
  recordHeartbeat(nowMs: number): void {
    this.heardAtMs = nowMs;
  }

  /**
   * Records that an update of another VM cannot be read, so that the catalog has to be read from the store.
   * @param nowMs - Current time.
   */
  recordUnreadable(nowMs: number): void {
    this.directReadUntilMs = nowMs + DIRECT_READ_SPAN_MS;
  }

  /** Computes the time at which the watchers count as silent. */
  computeSilenceEndMs(): number {
    return Math.max(this.heardAtMs + this.timing.computeWatcherSilenceMs(), this.startedAtMs + FOLLOWER_TIMEOUT_MS);
  }

  /**
   * Decides whether the VM follows its watchers or reads the store itself.
   * @param confirmedAtMs - Time at which the catalog was last confirmed.
   * @param nowMs - Current time.
   */
  decide(confirmedAtMs: number, nowMs: number): 'follow' | 'read' {
    if (nowMs < this.directReadUntilMs || nowMs >= this.computeSilenceEndMs()) return 'read';
    if (nowMs - Math.max(confirmedAtMs, this.startedAtMs) <= FOLLOWER_TIMEOUT_MS) return 'follow';
    this.directReadUntilMs = nowMs + DIRECT_READ_SPAN_MS;
    return 'read';
  }
}
