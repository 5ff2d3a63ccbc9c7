import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as catalogChange from './CatalogChange.js';
import type * as configuration from './Configuration.js';

// Number of recent changes that are kept for other VMs: those of about an hour at 12,000 changes a day. A VM that lacks older changes
// receives a snapshot.
const CHANGE_LOG_LENGTH = 512;

/** Part of the catalog that a change affects. */
export type CatalogPart = 'configuration' | 'instances';

/** Result of `getRemovalRevision` for an entry that was removed in an earlier era, whose revisions cannot be compared with later ones. */
export const REMOVED_BEFORE_ERA = -1;

/**
 * Latest configuration and instances. Changes of an era may be applied in any order; one with an older version or revision is ignored.
 *
 * A store that comes back from an older copy begins the next era and issues revisions again (load pattern: the store is gone for a moment
 * and comes back as it was some seconds before). State is ordered by era, then by revision. What is known of an entry from an earlier era
 * is newer than the entry in the copy, and stays until the entry is written again.
 */
export class Catalog {
  // Latest change of each instance. Removals are kept, so that an older change cannot restore the instance.
  private readonly instanceChanges = new Map<string, catalogChange.CatalogChange>();

  private changeLog: catalogChange.CatalogChange[] = [];

  // The change log contains all changes after this revision.
  private changeLogStart = 0;

  // Latest change of the configuration.
  private configurationChange: Extract<catalogChange.CatalogChange, { type: 'configuration' }> | undefined;

  private era = 0;

  // Entries of the era with a revision up to this one may be those of the copy.
  private eraRevision = 0;

  private revision = 0;

  /** Gets the era of the store that the catalog is of. */
  getEra(): number {
    return this.era;
  }

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
   * Gets the revision at which the entry of an instance was removed, 0 if it was not, or `REMOVED_BEFORE_ERA`.
   * @param id - Id of the instance.
   */
  getRemovalRevision(id: string): number {
    const change = this.instanceChanges.get(id);
    if (change?.type !== 'instance-removed') return 0;
    return (change.era ?? 0) < this.era ? REMOVED_BEFORE_ERA : change.revision;
  }

  /**
   * Compares a position in the store with that of the catalog. Positive if the position is newer, 0 if it is the same.
   * @param era - Era of the position.
   * @param revision - Revision of the position.
   */
  comparePosition(era: number, revision: number): number {
    return era === this.era ? revision - this.revision : era - this.era;
  }

  /**
   * Applies the changes up to a revision of the store. Returns the affected parts of the catalog.
   * @param changes - Changes of the era of the catalog in any order.
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
   * Applies a snapshot. Instances that it lacks are removed, unless their latest change has a later revision than the snapshot. One of a
   * newer era replaces the state of the older one. One of an older era, or an older one of an era after a return of the store, only adds
   * what the copy may lack: a newer configuration, and removals of the same era.
   * @param snapshot - Snapshot; its revision is that of the store when the read started.
   */
  applySnapshot(snapshot: catalogChange.CatalogSnapshot): Set<CatalogPart> {
    const era = snapshot.era ?? 0;
    if (era < this.era) return this.applyChanges(snapshot.changes.filter((change) => change.type === 'configuration'), this.revision);
    const parts = new Set<CatalogPart>();
    const contained = new Set(snapshot.changes.flatMap((change) => (change.type === 'instance' ? [change.id] : [])));
    const eraRevision = snapshot.eraRevision ?? snapshot.revision;
    if (era > this.era) {
      if (this.beginEra(era, contained) > 0) parts.add('instances');
      this.eraRevision = eraRevision;
      this.revision = snapshot.revision;
    } else if (era > 0) {
      this.eraRevision = Math.min(this.eraRevision, eraRevision);
      if (snapshot.revision < this.revision) {
        return this.applyChanges(snapshot.changes.filter((change) => change.type !== 'instance'), this.revision);
      }
    }
    const known = new Set(snapshot.changes.flatMap((change) => (change.type === 'configuration' ? [] : [change.id])));
    const removed = [...this.instanceChanges.values()].flatMap((existing): catalogChange.CatalogChange[] => (
      existing.type === 'instance' && !known.has(existing.id) && ((existing.era ?? 0) < era || existing.revision <= snapshot.revision)
        ? [{
          type: 'instance-removed', id: existing.id, revision: snapshot.revision, ...era === 0 ? {} : { era },
        }]
        : []
    ));
    this.applyChanges([...snapshot.changes, ...removed], snapshot.revision).forEach((part) => parts.add(part));
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
      ...this.era === 0 ? {} : { era: this.era, eraRevision: this.eraRevision },
      revision: this.revision,
      changes: [...this.configurationChange === undefined ? [] : [this.configurationChange], ...this.instanceChanges.values()],
    };
  }

  // Instances that the copy lacks are not removed: they may write their entries again, also in the copy of a still later era. Returns
  // their number.
  private beginEra(era: number, contained: ReadonlySet<string>): number {
    const missing = [...this.instanceChanges.values()].filter((change) => change.type === 'instance' && !contained.has(change.id));
    missing.forEach((change) => change.type === 'instance' && this.instanceChanges.delete(change.id));
    this.era = era;
    this.changeLog = [];
    this.changeLogStart = 0;
    return missing.length;
  }

  private applyChange(change: catalogChange.CatalogChange): CatalogPart | undefined {
    if (change.type === 'configuration') return this.applyConfiguration(change);
    const existing = this.instanceChanges.get(change.id);
    if (existing !== undefined && !this.isNewer(change, existing)) return undefined;
    this.instanceChanges.set(change.id, change);
    return 'instances';
  }

  // The newest version that was in force stays. The operator may have written its version again with other contents, after a return of the
  // store without it.
  private applyConfiguration(change: Extract<catalogChange.CatalogChange, { type: 'configuration' }>): CatalogPart | undefined {
    const existing = this.configurationChange;
    const versions = existing === undefined ? 1 : change.configuration.version - existing.configuration.version;
    if (versions < 0 || (versions === 0 && (change.era ?? 0) <= (existing?.era ?? 0))) return undefined;
    this.configurationChange = change;
    return versions === 0 && JSON.stringify(change.configuration) === JSON.stringify(existing?.configuration) ? undefined : 'configuration';
  }

  private isNewer(change: catalogChange.CatalogChange, existing: catalogChange.CatalogChange): boolean {
    const eras = (change.era ?? 0) - (existing.era ?? 0);
    if (eras === 0) return change.revision > existing.revision;
    return eras > 0 ? !this.isOutdatedCopy(change, existing.revision) : this.isOutdatedCopy(existing, change.revision);
  }

  // Whether an entry is the one of the copy, and not newer than what an earlier era had.
  private isOutdatedCopy(change: catalogChange.CatalogChange, earlierRevision: number): boolean {
    return change.revision <= this.eraRevision && change.revision <= earlierRevision;
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
