import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as configuration from './Configuration.js';

interface CatalogChangeBase {
  /**
   * Era of the store in which the entry was read; 0 if missing. It increases when the store comes back from an older copy, and then
   * revisions are issued again.
   */
  readonly era?: number | undefined;
  readonly revision: number;
}

/** One change of an entry of the store, with the revision of the store at which it was made. */
export type CatalogChange = CatalogChangeBase & (
  | { readonly type: 'configuration'; readonly configuration: configuration.Configuration }
  | { readonly type: 'instance'; readonly id: string; readonly record: instanceRecord.InstanceRecord }
  // The entry of the instance was removed, or replaced by one that describes no usable instance.
  | { readonly type: 'instance-removed'; readonly id: string });

/** Complete contents of a catalog at one revision of the store. */
export interface CatalogSnapshot {
  /** Era of the store; 0 if missing. */
  readonly era?: number | undefined;
  /** Earliest revision of the era that is known to be one after the return of the store; that of the snapshot if missing. */
  readonly eraRevision?: number | undefined;
  readonly revision: number;
  readonly changes: readonly CatalogChange[];
}
