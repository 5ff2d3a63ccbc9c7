import type * as gateway from '@tamarackferry/gateway';
import type * as neverthrow from 'neverthrow';

/** Why a reading failed. */
export interface CatalogReadFailure {
  readonly type: gateway.contracts.ReadFailureReason;
  readonly detail: string;
}

/** Result of a watch. */
export type CatalogWatch =
  | { readonly type: 'changes'; readonly changes: readonly gateway.contracts.CatalogChange[]; readonly revision: number }
  | { readonly type: 'history-lost' };

/** Where configuration and instances are published. */
export abstract class CatalogSource {
  /** Reads all that is published. */
  abstract readSnapshot(): Promise<neverthrow.Result<gateway.contracts.CatalogSnapshot, CatalogReadFailure>>;

  /**
   * Waits for changes.
   * @param afterRevision - Revision up to which everything is known.
   * @param waitMs - Longest time to wait, in milliseconds.
   */
  abstract watchChanges(afterRevision: number, waitMs: number): Promise<neverthrow.Result<CatalogWatch, CatalogReadFailure>>;

  /** Ends readings in progress and closes the connections. */
  abstract close(): Promise<void>;
}
