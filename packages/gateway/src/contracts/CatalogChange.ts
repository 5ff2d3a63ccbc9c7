import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as configuration from './Configuration.js';

/** One change of what the store holds, with the revision of the store that made it. */
export type CatalogChange =
  | { readonly type: 'configuration'; readonly revision: number; readonly configuration: configuration.Configuration }
  | { readonly type: 'instance'; readonly id: string; readonly revision: number; readonly record: instanceRecord.InstanceRecord }
  // Removed, or replaced by an entry that names no usable instance.
  | { readonly type: 'instance-removed'; readonly id: string; readonly revision: number };

/** All that a reader knows at one revision. */
export interface CatalogSnapshot {
  readonly revision: number;
  readonly changes: readonly CatalogChange[];
}
