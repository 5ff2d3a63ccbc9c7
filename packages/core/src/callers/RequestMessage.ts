import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as callerRequest from './CallerRequest.js';

/** Numbers of requests in progress, and of outcomes since the start of the VM, for the status page. */
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
  /** The caller disconnected. */
  | { readonly type: 'caller-gone'; readonly requestId: string }
  /** A peer forwarded an operation because its id names this VM as its home, which runs it. */
  | { readonly type: 'forwarded'; readonly from: string; readonly forwardId: string; readonly request: callerRequest.CallerRequest }
  /** The caller of an operation that a peer forwarded has disconnected. */
  | { readonly type: 'forward-cancelled'; readonly from: string; readonly forwardId: string }
  /** The home VM answered an operation that this VM forwarded. */
  | { readonly type: 'forward-ended'; readonly from: string; readonly forwardId: string; readonly outcome: contracts.Outcome }
  /** The transport could not deliver a message to a peer. */
  | { readonly type: 'peer-unreached'; readonly to: string }
  /** The `PeerTask` has no record of the home VM of a forwarded operation and dropped the message; the VM no longer exists. */
  | { readonly type: 'peer-unknown'; readonly to: string }
  | { readonly type: 'attempt-ended'; readonly attemptId: string; readonly result: upstreams.AttemptResult }
  /**
   * The answer exceeds the buffer limit. `echo`: result of comparing the echoed request id (the id of the attempt) with the one sent;
   * `absent` if none was echoed.
   */
  | { readonly type: 'attempt-overflowed'; readonly attemptId: string; readonly echo: 'matched' | 'mismatched' | 'absent' }
  | upstreams.AcquireReply
  | upstreams.CapacityFreed
  | contracts.LedgerReply
  | contracts.DocumentAccepted
  /** The timer of a request expired; `RequestInProgress.timerPurpose` has the reason. */
  | { readonly type: 'timer-expired'; readonly requestId: string }
  /** The second copy of a request is due: a hedge, or the copy that is forwarded to the home VM again. */
  | { readonly type: 'second-copy-due'; readonly requestId: string }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<RequestStatus> }
  /** Stops the task: it rejects new requests and sends `requests-ended` to the mailbox when no request is in progress. */
  | { readonly type: 'stop'; readonly replyTo: tasks.Mailbox<{ readonly type: 'requests-ended' }> };
