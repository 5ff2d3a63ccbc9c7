import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as catalogChange from './CatalogChange.js';
import type * as configuration from './Configuration.js';

// Number of recent changes that are kept for peers: those of some minutes at 12,000 changes a day. A peer that lacks older changes
// receives a snapshot.
const CHANGE_LOG_LENGTH = 512;

/** Part of the catalog that was changed. */
export type CatalogPart = 'configuration' | 'instances';

/** Latest configuration and instances. An older change never replaces a newer one, in whatever order the changes arrive. */
export class Catalog {
  private readonly instanceChanges = new Map<string, catalogChange.CatalogChange>();

  private changeLog: catalogChange.CatalogChange[] = [];

  // The log contains all changes after this revision.
  private changeLogStart = 0;

  // Change with the newest configuration.
  private configurationChange: Extract<catalogChange.CatalogChange, { type: 'configuration' }> | undefined;

  private revision = 0;

  /** Gets the revision of the store up to which the catalog is complete. */
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
   * Applies changes that make the catalog complete up to a revision. Returns the parts of the catalog that were changed.
   * @param changes - Changes in any order.
   * @param revision - Revision up to which the catalog is complete with the changes.
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
   * Applies a snapshot. Instances that it does not contain are removed, unless they were published after it.
   * @param snapshot - Snapshot, with the revision of the store at which reading it began.
   */
  applySnapshot(snapshot: catalogChange.CatalogSnapshot): Set<CatalogPart> {
    const contained = new Set(snapshot.changes.flatMap((change) => (change.type === 'configuration' ? [] : [change.id])));
    const removed = [...this.instanceChanges.values()].flatMap((existing): catalogChange.CatalogChange[] => (
      existing.type === 'instance' && !contained.has(existing.id) && existing.revision <= snapshot.revision
        ? [{ type: 'instance-removed', id: existing.id, revision: snapshot.revision }]
        : []
    ));
    const parts = this.applyChanges([...snapshot.changes, ...removed], snapshot.revision);
    // The log lacks the changes between its latest one and the snapshot.
    if (snapshot.revision > this.changeLogStart) this.clearChangeLog();
    return parts;
  }

  /**
   * Lists the changes after a revision, or undefined if the log no longer contains all of them.
   * @param revision - Revision up to which the catalog of the requesting VM is complete.
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
