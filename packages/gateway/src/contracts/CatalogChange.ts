import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as configuration from './Configuration.js';

/** One change of an entry of the store, with the revision of the store at which it was made. */
export type CatalogChange =
  | { readonly type: 'configuration'; readonly revision: number; readonly configuration: configuration.Configuration }
  | { readonly type: 'instance'; readonly id: string; readonly revision: number; readonly record: instanceRecord.InstanceRecord }
  // The entry of the instance was removed, or replaced by one that describes no usable instance.
  | { readonly type: 'instance-removed'; readonly id: string; readonly revision: number };

/** Complete contents of a catalog at one revision of the store. */
export interface CatalogSnapshot {
  readonly revision: number;
  readonly changes: readonly CatalogChange[];
}
