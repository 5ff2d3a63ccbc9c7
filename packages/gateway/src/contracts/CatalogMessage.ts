import type * as core from '@tamarackferry/core';

import type * as catalogChange from './CatalogChange.js';
import type * as storeOutage from './StoreOutage.js';

/** Reason why reading the store failed. */
export type ReadFailureReason = 'unreachable' | 'timed-out' | 'rejected' | 'unreadable' | 'older-era';

interface CatalogUpdateBase {
  /** Time since the catalog of the sender was last confirmed to be up to date, in milliseconds. */
  readonly confirmedAgeMs: number;
  readonly store: storeOutage.StoreReport;
}

/** Catalog update for another VM. */
export type CatalogUpdate = CatalogUpdateBase & (
  | {
    readonly type: 'changes';
    /** Era of the store; 0 if missing. */
    readonly era?: number | undefined;
    readonly revision: number;
    /** Revision of the same era after which the changes are; that of the request if missing. */
    readonly afterRevision?: number | undefined;
    readonly changes: readonly catalogChange.CatalogChange[];
  }
  | { readonly type: 'snapshot'; readonly snapshot: catalogChange.CatalogSnapshot });

/** Message to the `CatalogTask`. */
export type CatalogMessage =
  | { readonly type: 'start' }
  | { readonly type: 'stop' }
  | { readonly type: 'snapshot-read'; readonly snapshot: catalogChange.CatalogSnapshot }
  | {
    readonly type: 'changes-read';
    readonly changes: readonly catalogChange.CatalogChange[];
    readonly era?: number | undefined;
    readonly revision: number;
  }
  // The store no longer has the changes after the revision from which they were to be read.
  | { readonly type: 'history-lost' }
  | { readonly type: 'read-failed'; readonly reason: ReadFailureReason; readonly detail: string }
  // A watcher reads the store itself; a follower fetches catalog updates from other VMs.
  | { readonly type: 'role-chosen'; readonly role: 'watcher' | 'follower' }
  // A heartbeat of another VM was received, with the revision of its catalog.
  | {
    readonly type: 'peer-revision-received';
    readonly host: string;
    readonly distance: 'same-place' | 'other-place';
    readonly role: 'watcher' | 'follower';
    readonly revision: number;
    readonly confirmedAgeMs: number;
    readonly store: storeOutage.StoreReport;
  }
  // A request of a caller waits for the first configuration.
  | { readonly type: 'catalog-needed' }
  | { readonly type: 'peer-update'; readonly host: string; readonly update: CatalogUpdate }
  // The request for an update from another VM failed.
  | { readonly type: 'peer-unreached'; readonly host: string }
  // The update of another VM cannot be read, as during an update of the program.
  | { readonly type: 'peer-unreadable'; readonly host: string }
  // Another VM requests the changes after a revision, or a snapshot if the revision is negative.
  | { readonly type: 'update-requested'; readonly afterRevision: number; readonly replyTo: core.tasks.Mailbox<CatalogUpdate> }
  | { readonly type: 'read-due' }
  // The store is to be read instead of an update that cannot be read.
  | { readonly type: 'direct-read-due' }
  | { readonly type: 'check' }
  | { readonly type: 'silence-check-due' }
  | { readonly type: 'retention-check-due' };

/** Message from the `CatalogTask` to the task that owns the connection to the store, or to the one that owns those to other VMs. */
export type CatalogOutput =
  | { readonly type: 'read-snapshot' }
  | { readonly type: 'watch-changes'; readonly afterRevision: number; readonly waitMs: number }
  | { readonly type: 'stop-reading' }
  // Requests the changes after a revision from another VM, or a snapshot if the revision is negative.
  | { readonly type: 'fetch-update'; readonly host: string; readonly afterRevision: number };
