import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as catalogChange from './CatalogChange.js';
import type * as configuration from './Configuration.js';

// Holds the changes of some minutes at 12,000 a day; a peer that lacks more gets a snapshot.
const CHANGE_LOG_LENGTH = 512;

/** What `Catalog.apply` changed. */
export type CatalogEffect = 'configuration' | 'instances';

/** Configuration and instances as last read. Each part moves forward only, whatever order the changes arrive in. */
export class Catalog {
  private readonly instances = new Map<string, catalogChange.CatalogChange>();

  private log: catalogChange.CatalogChange[] = [];

  private logStart = 0;

  private current: Extract<catalogChange.CatalogChange, { type: 'configuration' }> | undefined;

  private revision = 0;

  /** Gets the revision up to which everything is known. */
  getRevision(): number {
    return this.revision;
  }

  /** Gets the newest configuration, or undefined if none was read. */
  getConfiguration(): configuration.Configuration | undefined {
    return this.current?.configuration;
  }

  /** Lists the published instances. */
  listInstances(): instanceRecord.InstanceRecord[] {
    return [...this.instances.values()].flatMap((change) => (change.type === 'instance' ? [change.record] : []));
  }

  /**
   * Applies changes that lead up to a revision, and tells what they changed.
   * @param changes - Changes in any order.
   * @param revision - Revision that the changes lead to.
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
   * Applies a complete reading: instances that it does not hold are removed.
   * @param snapshot - What was read, and the revision at which the reading began.
   */
  applySnapshot(snapshot: catalogChange.CatalogSnapshot): Set<CatalogEffect> {
    const contained = new Set(snapshot.changes.flatMap((change) => (change.type === 'configuration' ? [] : [change.id])));
    const removed = [...this.instances.values()].flatMap((existing): catalogChange.CatalogChange[] => (
      existing.type === 'instance' && !contained.has(existing.id) && existing.revision <= snapshot.revision
        ? [{ type: 'instance-removed', id: existing.id, revision: snapshot.revision }]
        : []
    ));
    const effects = this.applyChanges([...snapshot.changes, ...removed], snapshot.revision);
    // A jump leaves a gap in the log.
    if (snapshot.revision > this.logStart) this.clearLog();
    return effects;
  }

  /**
   * Lists the changes after a revision, or undefined if they are no longer all known.
   * @param revision - Revision up to which the reader knows everything.
   */
  listChangesAfter(revision: number): catalogChange.CatalogChange[] | undefined {
    return revision < this.logStart ? undefined : this.log.filter((change) => change.revision > revision);
  }

  /** Builds a snapshot of all that is known. */
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
