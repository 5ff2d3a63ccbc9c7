import type * as instanceRecord from '../upstreams/InstanceRecord.js';

// Instances whose entries expired during an outage of the store have published them again within about two seconds after it.
const RETENTION_AFTER_OUTAGE_MS = 2_200;

// Entries expire after three missed heartbeats, so none expires during an outage of the store that is shorter than this.
const ENTRY_TTL_MS = 3_000;

/** Keeps instances in use whose entries expired during an outage of the store, until they had time to publish them again. */
export class RetainedInstances {
  private readonly retained = new Map<string, instanceRecord.InstanceRecord>();

  private inUse: readonly instanceRecord.InstanceRecord[] = [];

  private retainUntilMs = -Infinity;

  /**
   * Records that the catalog was confirmed again after a time without confirmation.
   * @param outageMs - Time without confirmation, in milliseconds.
   * @param nowMs - Current time.
   */
  recordStoreRecovery(outageMs: number, nowMs: number): void {
    if (Number.isFinite(outageMs) && outageMs > ENTRY_TTL_MS) this.retainUntilMs = nowMs + RETENTION_AFTER_OUTAGE_MS;
  }

  /**
   * Lists the instances to use: those that are published, and those that may be published again.
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
   * Computes the time until the retained instances are dropped, in milliseconds, or undefined if there are none.
   * @param nowMs - Current time.
   */
  computeRemainingRetentionMs(nowMs: number): number | undefined {
    return this.retained.size === 0 ? undefined : Math.max(0, this.retainUntilMs - nowMs);
  }
}
