import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import * as catalog from './Catalog.js';

/** Which missing instances are retained, and until when. */
export interface Retention {
  readonly untilMs: number;
  /** Instances whose entries were removed after this revision of the store have left. */
  readonly returnRevision: number;
}

/**
 * Retains instances whose store entries expired during an outage of the store, or that are missing in the older copy from which the store
 * came back, until the instances have had time to republish them.
 */
export class RetainedInstances {
  // Instances that are missing and still in use.
  private retained: readonly instanceRecord.InstanceRecord[] = [];

  private inUse: readonly instanceRecord.InstanceRecord[] = [];

  /**
   * Updates the retained instances and returns the instances in use: those that are published, and those that are retained.
   * @param published - Instances in the catalog.
   * @param getRemovalRevision - Gets the revision at which the entry of an instance was removed.
   * @param retention - What is retained now; undefined if nothing is.
   */
  updateInUse(
    published: readonly instanceRecord.InstanceRecord[],
    getRemovalRevision: (id: string) => number,
    retention: Retention | undefined,
  ): readonly instanceRecord.InstanceRecord[] {
    const ids = new Set(published.map((record) => record.id));
    const addresses = new Set(published.map((record) => `${record.host}:${record.port}`));
    const retainedBefore = new Set(this.retained.map((record) => record.id));
    this.retained = retention === undefined ? [] : this.inUse.filter((record) => record.state === 'ready'
      && !ids.has(record.id)
      && !addresses.has(`${record.host}:${record.port}`)
      && RetainedInstances.hasLeft(getRemovalRevision(record.id), retention, retainedBefore.has(record.id)) === 'no');
    this.inUse = [...published, ...this.retained];
    return this.inUse;
  }

  // A removal before the return of the store of which this VM hears only now is final. One after which the instance was retained already
  // was the expiry of its entry.
  private static hasLeft(removalRevision: number, retention: Retention, wasRetained: boolean): 'yes' | 'no' {
    if (removalRevision === catalog.REMOVED_BEFORE_ERA) return wasRetained ? 'no' : 'yes';
    return removalRevision <= retention.returnRevision ? 'no' : 'yes';
  }

  /** Counts the retained instances. */
  countRetained(): number {
    return this.retained.length;
  }

  /** Whether instances are retained. */
  hasRetained(): boolean {
    return this.retained.length > 0;
  }
}
