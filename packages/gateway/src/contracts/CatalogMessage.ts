import type * as core from '@tamarackferry/core';

import type * as catalogChange from './CatalogChange.js';

/** Why a reading of the store failed. */
export type ReadFailureReason = 'unreachable' | 'timed-out' | 'rejected' | 'unreadable';

/** Answer to a peer that asks for news. */
export type CatalogUpdate =
  | { readonly type: 'changes'; readonly revision: number; readonly confirmedAgeMs: number; readonly changes: readonly catalogChange.CatalogChange[] }
  | { readonly type: 'snapshot'; readonly confirmedAgeMs: number; readonly snapshot: catalogChange.CatalogSnapshot };

/** Message to the `CatalogTask`. */
export type CatalogMessage =
  | { readonly type: 'start' }
  | { readonly type: 'stop' }
  | { readonly type: 'snapshot-read'; readonly snapshot: catalogChange.CatalogSnapshot }
  | { readonly type: 'changes-read'; readonly changes: readonly catalogChange.CatalogChange[]; readonly revision: number }
  | { readonly type: 'history-lost' }
  | { readonly type: 'read-failed'; readonly reason: ReadFailureReason; readonly detail: string }
  | { readonly type: 'role-chosen'; readonly role: 'watcher' | 'follower' }
  | { readonly type: 'peer-revision-received'; readonly host: string; readonly revision: number; readonly confirmedAgeMs: number }
  | { readonly type: 'peer-update'; readonly host: string; readonly update: CatalogUpdate }
  | { readonly type: 'peer-unreached'; readonly host: string }
  | { readonly type: 'update-requested'; readonly afterRevision: number; readonly replyTo: core.tasks.Mailbox<CatalogUpdate> }
  | { readonly type: 'read-due' }
  | { readonly type: 'check' };

/** What the `CatalogTask` asks of the task that owns the connection to the store, and of the one that owns those to peers. */
export type CatalogOutput =
  | { readonly type: 'read-snapshot' }
  | { readonly type: 'watch-changes'; readonly afterRevision: number; readonly waitMs: number }
  | { readonly type: 'stop-reading' }
  | { readonly type: 'fetch-update'; readonly host: string; readonly afterRevision: number };
