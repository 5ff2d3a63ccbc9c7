import type * as instanceRecord from '../upstreams/InstanceRecord.js';

// Time for which instances are retained. After an outage of the store, instances republish expired entries within about two seconds.
const RETENTION_AFTER_OUTAGE_MS = 2_200;

// Lifetime of a store entry without renewal (three renewal periods). No entry expires during a shorter outage.
const ENTRY_TTL_MS = 3_000;

/** Retains instances whose store entries expired during an outage of the store, until the instances have had time to republish them. */
export class RetainedInstances {
  // Instances in use during the retention; those that are published again are no longer missing.
  private readonly retained = new Map<string, instanceRecord.InstanceRecord>();

  private inUse: readonly instanceRecord.InstanceRecord[] = [];

  private retainUntilMs = -Infinity;

  /**
   * Records that the catalog was confirmed to be up to date again after a time without confirmation.
   * @param outageMs - Time without confirmation, in milliseconds.
   * @param nowMs - Current time.
   */
  recordStoreRecovery(outageMs: number, nowMs: number): void {
    if (Number.isFinite(outageMs) && outageMs > ENTRY_TTL_MS) this.retainUntilMs = nowMs + RETENTION_AFTER_OUTAGE_MS;
  }

  /**
   * Updates the retained instances and returns the instances in use: those that are published, and those that are retained.
   * @param published - Instances in the catalog.
   * @param nowMs - Current time.
   */
  updateInUse(published: readonly instanceRecord.InstanceRecord[], nowMs: number): readonly instanceRecord.InstanceRecord[] {
    const ids = new Set(published.map((record) => record.id));
    const addresses = new Set(published.map((record) => `${record.host}:${record.port}`));
    if (nowMs < this.retainUntilMs) {
      this.inUse.filter((record) => record.state === 'ready').forEach((record) => this.retained.set(record.id, record));
    } else this.retained.clear();
    const stillMissing = [...this.retained.values()].filter((record) => !ids.has(record.id) && !addresses.has(`${record.host}:${record.port}`));
    this.inUse = [...published, ...stillMissing];
    return this.inUse;
  }

  /**
   * Computes the time until the retained instances are dropped, in milliseconds. Undefined if none are retained.
   * @param nowMs - Current time.
   */
  computeRemainingRetentionMs(nowMs: number): number | undefined {
    return this.retained.size === 0 ? undefined : Math.max(0, this.retainUntilMs - nowMs);
  }
}
