import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as catalogChange from './CatalogChange.js';
import type * as configuration from './Configuration.js';

// Number of recent changes that are kept for peers: those of some minutes at 12,000 changes a day. A peer that lacks older changes
// receives a snapshot.
const CHANGE_LOG_LENGTH = 512;

/** Part of the catalog that was changed. */
export type CatalogEffect = 'configuration' | 'instances';

/** Latest configuration and instances. An older change never replaces a newer one, in whatever order the changes arrive. */
export class Catalog {
  private readonly instances = new Map<string, catalogChange.CatalogChange>();

  private log: catalogChange.CatalogChange[] = [];

  // The log contains all changes after this revision.
  private logStart = 0;

  // Change with the newest configuration.
  private current: Extract<catalogChange.CatalogChange, { type: 'configuration' }> | undefined;

  private revision = 0;

  /** Gets the revision of the store up to which the catalog is complete. */
  getRevision(): number {
    return this.revision;
  }

  /** Gets the newest configuration, or undefined if none was received. */
  getConfiguration(): configuration.Configuration | undefined {
    return this.current?.configuration;
  }

  /** Lists the published instances. */
  listInstances(): instanceRecord.InstanceRecord[] {
    return [...this.instances.values()].flatMap((change) => (change.type === 'instance' ? [change.record] : []));
  }

  /**
   * Applies changes that make the catalog complete up to a revision. Returns the parts of the catalog that were changed.
   * @param changes - Changes in any order.
   * @param revision - Revision up to which the catalog is complete with the changes.
   */
  applyChanges(changes: readonly catalogChange.CatalogChange[], revision: number): Set<CatalogEffect> {
    const effects = new Set<CatalogEffect>();
    changes.forEach((change) => {
      const effect = this.applyChange(change);
      if (effect === undefined) return;
      effects.add(effect);
      this.log.push(change);
    });
    this.revision = Math.max(this.revision, revision);
    this.pruneLog();
    return effects;
  }

  /**
   * Applies a snapshot. Instances that it does not contain are removed, unless they were published after it.
   * @param snapshot - Snapshot, with the revision of the store at which reading it began.
   */
  applySnapshot(snapshot: catalogChange.CatalogSnapshot): Set<CatalogEffect> {
    const contained = new Set(snapshot.changes.flatMap((change) => (change.type === 'configuration' ? [] : [change.id])));
    const removed = [...this.instances.values()].flatMap((existing): catalogChange.CatalogChange[] => (
      existing.type === 'instance' && !contained.has(existing.id) && existing.revision <= snapshot.revision
        ? [{ type: 'instance-removed', id: existing.id, revision: snapshot.revision }]
        : []
    ));
    const effects = this.applyChanges([...snapshot.changes, ...removed], snapshot.revision);
    // The log lacks the changes between its latest one and the snapshot.
    if (snapshot.revision > this.logStart) this.clearLog();
    return effects;
  }

  /**
   * Lists the changes after a revision, or undefined if the log no longer contains all of them.
   * @param revision - Revision up to which the catalog of the requesting VM is complete.
   */
  listChangesAfter(revision: number): catalogChange.CatalogChange[] | undefined {
    return revision < this.logStart ? undefined : this.log.filter((change) => change.revision > revision);
  }

  /** Builds a snapshot of the whole catalog. */
  buildSnapshot(): catalogChange.CatalogSnapshot {
    return { revision: this.revision, changes: [...this.current === undefined ? [] : [this.current], ...this.instances.values()] };
  }

  private applyChange(change: catalogChange.CatalogChange): CatalogEffect | undefined {
    if (change.type === 'configuration') {
      if (this.current !== undefined && change.configuration.version <= this.current.configuration.version) return undefined;
      this.current = change;
      return 'configuration';
    }
    const existing = this.instances.get(change.id);
    if (existing !== undefined && existing.revision >= change.revision) return undefined;
    this.instances.set(change.id, change);
    return 'instances';
  }

  private pruneLog(): void {
    if (this.log.length <= CHANGE_LOG_LENGTH) return;
    const dropped = this.log.splice(0, this.log.length - CHANGE_LOG_LENGTH);
    this.logStart = dropped.reduce((newest, change) => Math.max(newest, change.revision), this.logStart);
  }

  private clearLog(): void {
    this.log = [];
    this.logStart = this.revision;
  }
}
