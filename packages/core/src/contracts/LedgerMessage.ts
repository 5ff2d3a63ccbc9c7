import type * as tasks from '../tasks/index.js';
import type * as outcome from './Outcome.js';

/** Decision of the `LedgerTask` about a request with an operation id. */
export type LedgerReply =
  // This VM is the home and the operation has not run: dispatch it, then send `finish`.
  | { readonly type: 'run'; readonly requestId: string }
  /** The operation is running; `settled` follows. */
  | { readonly type: 'joined'; readonly requestId: string }
  /** Final outcome for this request. */
  | { readonly type: 'settled'; readonly requestId: string; readonly outcome: outcome.Outcome }
  /** Another VM is the home. */
  | { readonly type: 'forward'; readonly requestId: string; readonly home: string }
  | { readonly type: 'prefix'; readonly requestId: string; readonly prefix: string | undefined };

/** Message to the `LedgerTask`. */
export type LedgerMessage =
  | {
    readonly type: 'begin';
    readonly requestId: string;
    readonly operationId: string;
    readonly digest: string;
    /** A request that a peer forwarded is not forwarded again. */
    readonly origin: 'caller' | 'peer';
    readonly replyTo: tasks.Mailbox<LedgerReply>;
  }
  /** Records the outcome of an operation that `run` allowed. A later answer may replace `unknown`. */
  | { readonly type: 'finish'; readonly operationId: string; readonly outcome: outcome.Outcome }
  /** A request that joined an operation has gone. */
  | { readonly type: 'leave'; readonly requestId: string; readonly operationId: string }
  | { readonly type: 'prefix-requested'; readonly requestId: string; readonly replyTo: tasks.Mailbox<LedgerReply> }
  | { readonly type: 'stop-issuing' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<LedgerStatus> }
  | { readonly type: 'tick' };

/** State of the ledger for the status page. */
export interface LedgerStatus {
  readonly type: 'ledger-status';
  readonly entries: number;
  readonly running: number;
  readonly epoch: number;
  readonly issuing: 'issuing' | 'full' | 'stopping';
}
