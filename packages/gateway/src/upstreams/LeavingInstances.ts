import type * as instanceRecord from './InstanceRecord.js';

// Time for which a statement is kept after its process was published last. Its entry may come back meanwhile: the store may return from an
// older copy, and another VM may send an older catalog.
const UNPUBLISHED_LIFETIME_MS = 600_000;

/**
 * Processes of instances that have stated to this VM that they are leaving. The statement holds until the process ends, whatever is
 * published about the instance, and not for the next process under the same id or at the same address.
 */
export class LeavingInstances {
  // Time at which each leaving process was published or made its statement last, by its key.
  private readonly lastKnownMs = new Map<string, number>();

  /**
   * Records that a process has stated that it is leaving. Returns whether this VM did not know it.
   * @param record - Published record that the request was sent by.
   * @param nowMs - Current time.
   */
  record(record: instanceRecord.InstanceRecord, nowMs: number): 'new' | 'known' {
    const key = LeavingInstances.buildKey(record);
    const isKnown = this.lastKnownMs.has(key);
    this.lastKnownMs.set(key, nowMs);
    return isKnown ? 'known' : 'new';
  }

  /**
   * Whether the process that a record describes has stated that it is leaving.
   * @param record - Published record.
   */
  isLeaving(record: instanceRecord.InstanceRecord): boolean {
    return this.lastKnownMs.size > 0 && this.lastKnownMs.has(LeavingInstances.buildKey(record));
  }

  /**
   * Forgets the processes that have not been published for a long time.
   * @param published - Records that are published now.
   * @param nowMs - Current time.
   */
  prune(published: readonly instanceRecord.InstanceRecord[], nowMs: number): void {
    if (this.lastKnownMs.size === 0) return;
    published.filter((record) => this.isLeaving(record))
      .forEach((record) => this.lastKnownMs.set(LeavingInstances.buildKey(record), nowMs));
    this.lastKnownMs.forEach((knownAtMs, key) => {
      if (nowMs - knownAtMs > UNPUBLISHED_LIFETIME_MS) this.lastKnownMs.delete(key);
    });
  }

  // The start time distinguishes the processes under one id. Without one, only another address shows that the process is another.
  private static buildKey({
    id, startedAtMs, host, port,
  }: instanceRecord.InstanceRecord): string {
    return `${startedAtMs ?? `${host}:${port}`}/${id}`;
  }
}
