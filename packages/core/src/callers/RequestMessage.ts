import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as callerRequest from './CallerRequest.js';

/** Counts of the `RequestTask` for the status page. */
export interface RequestStatus {
  readonly type: 'request-status';
  readonly inFlight: number;
  readonly queued: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
}

/** Message to the `RequestTask`. */
export type RequestMessage =
  | { readonly type: 'caller-request'; readonly requestId: string; readonly request: callerRequest.CallerRequest }
  | { readonly type: 'caller-gone'; readonly requestId: string }
  /** A peer handed over an operation whose home this VM is. */
  | { readonly type: 'forwarded'; readonly from: string; readonly forwardId: string; readonly request: callerRequest.CallerRequest }
  | { readonly type: 'forward-cancelled'; readonly from: string; readonly forwardId: string }
  /** The home VM answered an operation that this VM forwarded. */
  | { readonly type: 'forward-ended'; readonly from: string; readonly forwardId: string; readonly outcome: contracts.Outcome }
  /** The transport could not reach a peer. */
  | { readonly type: 'peer-unreached'; readonly to: string }
  /** The home VM of a forwarded operation is not known to the `PeerTask`, which dropped the message. */
  | { readonly type: 'peer-unknown'; readonly to: string }
  | { readonly type: 'attempt-ended'; readonly attemptId: string; readonly result: upstreams.AttemptResult }
  | { readonly type: 'attempt-overflowed'; readonly attemptId: string; readonly echo: 'matched' | 'mismatched' | 'absent' }
  | upstreams.AcquireReply
  | upstreams.CapacityFreed
  | contracts.LedgerReply
  | contracts.DocumentAccepted
  | { readonly type: 'deadline'; readonly requestId: string }
  /** A second attempt is due, or the second copy of a forward. */
  | { readonly type: 'hedge-due'; readonly requestId: string }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<RequestStatus> }
  /** The VM stops. `requests-ended` is sent to the mailbox when no request is left. */
  | { readonly type: 'stop'; readonly replyTo: tasks.Mailbox<{ readonly type: 'requests-ended' }> };
