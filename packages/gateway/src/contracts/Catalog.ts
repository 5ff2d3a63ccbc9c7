import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as catalogChange from './CatalogChange.js';
import type * as configuration from './Configuration.js';

// Number of recent changes that are kept for other VMs: those of about an hour at 12,000 changes a day. A VM that lacks older changes
// receives a snapshot.
const CHANGE_LOG_LENGTH = 512;

/** Part of the catalog that a change affects. */
export type CatalogPart = 'configuration' | 'instances';

/** Latest configuration and instances. Changes may be applied in any order; one with an older version or revision is ignored. */
export class Catalog {
  // Latest change of each instance. Removals are kept, so that an older change cannot restore the instance.
  private readonly instanceChanges = new Map<string, catalogChange.CatalogChange>();

  private changeLog: catalogChange.CatalogChange[] = [];

  // The change log contains all changes after this revision.
  private changeLogStart = 0;

  // Latest change of the configuration.
  private configurationChange: Extract<catalogChange.CatalogChange, { type: 'configuration' }> | undefined;

  private revision = 0;

  /** Gets the latest revision of the store whose changes are all in the catalog. */
  getRevision(): number {
    return this.revision;
  }

  /** Gets the newest configuration, or undefined if none was received. */
  getConfiguration(): configuration.Configuration | undefined {
    return this.configurationChange?.configuration;
  }

  /** Lists the published instances. */
  listInstances(): instanceRecord.InstanceRecord[] {
    return [...this.instanceChanges.values()].flatMap((change) => (change.type === 'instance' ? [change.record] : []));
  }

  /**
   * Gets the revision at which the entry of an instance was removed, or 0 if it was not.
   * @param id - Id of the instance.
   */
  getRemovalRevision(id: string): number {
    const change = this.instanceChanges.get(id);
    return change?.type === 'instance-removed' ? change.revision : 0;
  }

  /**
   * Applies the changes up to a revision of the store. Returns the affected parts of the catalog.
   * @param changes - Changes in any order.
   * @param revision - Latest revision of the store whose changes are all in the catalog afterwards.
   */
  applyChanges(changes: readonly catalogChange.CatalogChange[], revision: number): Set<CatalogPart> {
    const parts = new Set<CatalogPart>();
    changes.forEach((change) => {
      const part = this.applyChange(change);
      if (part === undefined) return;
      parts.add(part);
      this.changeLog.push(change);
    });
    this.revision = Math.max(this.revision, revision);
    this.pruneChangeLog();
    return parts;
  }

  /**
   * Applies a snapshot. Instances that it lacks are removed, unless their latest change has a later revision than the snapshot.
   * @param snapshot - Snapshot; its revision is that of the store when the read started.
   */
  applySnapshot(snapshot: catalogChange.CatalogSnapshot): Set<CatalogPart> {
    const contained = new Set(snapshot.changes.flatMap((change) => (change.type === 'configuration' ? [] : [change.id])));
    const removed = [...this.instanceChanges.values()].flatMap((existing): catalogChange.CatalogChange[] => (
      existing.type === 'instance' && !contained.has(existing.id) && existing.revision <= snapshot.revision
        ? [{ type: 'instance-removed', id: existing.id, revision: snapshot.revision }]
        : []
    ));
    const parts = this.applyChanges([...snapshot.changes, ...removed], snapshot.revision);
    // A snapshot omits intermediate changes, so the change log no longer covers every revision and restarts at the snapshot.
    if (snapshot.revision > this.changeLogStart) this.clearChangeLog();
    return parts;
  }

  /**
   * Lists the changes after a revision, or undefined if the change log no longer contains all of them.
   * @param revision - Latest revision whose changes are all in the catalog of the requesting VM.
   */
  listChangesAfter(revision: number): catalogChange.CatalogChange[] | undefined {
    return revision < this.changeLogStart ? undefined : this.changeLog.filter((change) => change.revision > revision);
  }

  /** Builds a snapshot of the whole catalog. */
  buildSnapshot(): catalogChange.CatalogSnapshot {
    return {
      revision: this.revision,
      changes: [...this.configurationChange === undefined ? [] : [this.configurationChange], ...this.instanceChanges.values()],
    };
  }

  private applyChange(change: catalogChange.CatalogChange): CatalogPart | undefined {
    if (change.type === 'configuration') {
      if (
        this.configurationChange !== undefined
        && change.configuration.version <= this.configurationChange.configuration.version
      ) return undefined;
      this.configurationChange = change;
      return 'configuration';
    }
    const existing = this.instanceChanges.get(change.id);
    if (existing !== undefined && existing.revision >= change.revision) return undefined;
    this.instanceChanges.set(change.id, change);
    return 'instances';
  }

  private pruneChangeLog(): void {
    if (this.changeLog.length <= CHANGE_LOG_LENGTH) return;
    const dropped = this.changeLog.splice(0, this.changeLog.length - CHANGE_LOG_LENGTH);
    this.changeLogStart = dropped.reduce((newest, change) => Math.max(newest, change.revision), this.changeLogStart);
  }

  private clearChangeLog(): void {
    this.changeLog = [];
    this.changeLogStart = this.revision;
  }
}
