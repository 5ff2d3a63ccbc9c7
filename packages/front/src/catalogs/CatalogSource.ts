import type * as gateway from '@tamarackferry/gateway';
import type * as neverthrow from 'neverthrow';

/** Reason why a read of the catalog failed. */
export interface CatalogReadFailure {
  readonly type: gateway.contracts.ReadFailureReason;
  readonly detail: string;
}

/** Result of a watch. `history-lost`: the source does not keep changes back to the requested revision any more. */
export type CatalogWatchResult =
  | {
    readonly type: 'changes';
    readonly changes: readonly gateway.contracts.CatalogChange[];
    /** Era of the source, which is 0 if missing. Revisions of different eras cannot be compared. */
    readonly era?: number | undefined;
    readonly revision: number;
  }
  | { readonly type: 'history-lost' };

/** Source of the catalog: the published configuration and instances. */
export abstract class CatalogSource {
  /** Reads the complete catalog. */
  abstract readSnapshot(): Promise<neverthrow.Result<gateway.contracts.CatalogSnapshot, CatalogReadFailure>>;

  /**
   * Waits until the catalog changes or the wait time is over (long poll).
   * @param afterRevision - Revision after which changes are returned.
   * @param waitMs - Maximum time to wait, in milliseconds.
   */
  abstract watchChanges(afterRevision: number, waitMs: number): Promise<neverthrow.Result<CatalogWatchResult, CatalogReadFailure>>;

  /** Aborts reads in progress and closes the connections. */
  abstract close(): Promise<void>;
}
