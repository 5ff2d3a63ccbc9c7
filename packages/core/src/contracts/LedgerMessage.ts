import type * as tasks from '../tasks/index.js';
import type * as outcome from './Outcome.js';

/** Reply of the `LedgerTask` about a request, identified by `requestId`. */
export type LedgerReply =
  // This VM is the home of the operation, which has not run yet: the receiver dispatches it and then sends `finish`.
  | { readonly type: 'run'; readonly requestId: string }
  /** The operation is running already; `settled` follows. */
  | { readonly type: 'joined'; readonly requestId: string }
  /** Outcome of the request. */
  | { readonly type: 'settled'; readonly requestId: string; readonly outcome: outcome.Outcome }
  /** Another VM is the home of the operation, and the request must be forwarded to it. */
  | { readonly type: 'forward'; readonly requestId: string; readonly home: string }
  /** Prefix for new operation ids; undefined if this VM issues none at present. */
  | { readonly type: 'prefix'; readonly requestId: string; readonly prefix: string | undefined };

/** Message to the `LedgerTask`. */
export type LedgerMessage =
  /** Requests a decision about a request with an operation id. Answered by `run`, `joined`, `settled` or `forward`. */
  | {
    readonly type: 'begin';
    readonly requestId: string;
    readonly operationId: string;
    /** Identifies the content of the request. */
    readonly digest: string;
    /** `peer`: forwarded by a peer, and not forwarded again. */
    readonly origin: 'caller' | 'peer';
    readonly replyTo: tasks.Mailbox<LedgerReply>;
  }
  /** Records the outcome of an operation that `run` allowed. A later answer may replace `unknown`. */
  | { readonly type: 'finish'; readonly operationId: string; readonly outcome: outcome.Outcome }
  /** A request that joined an operation has ended. */
  | { readonly type: 'leave'; readonly requestId: string; readonly operationId: string }
  /** Requests a prefix for new operation ids. Answered by `prefix`. */
  | { readonly type: 'prefix-requested'; readonly requestId: string; readonly replyTo: tasks.Mailbox<LedgerReply> }
  /** Stops issuing prefixes, because this VM is shutting down. */
  | { readonly type: 'stop-issuing' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<LedgerStatus> }
  | { readonly type: 'tick' };

/** State of the ledger for the status page. */
export interface LedgerStatus {
  readonly type: 'ledger-status';
  readonly entries: number;
  readonly running: number;
  readonly epoch: number;
  /** Whether prefixes for operation ids are issued. `full`: no room for further operations. `stopping`: the VM is stopping. */
  readonly issuing: 'issuing' | 'full' | 'stopping';
}
