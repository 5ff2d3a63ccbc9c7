import type * as contracts from '../contracts/index.js';

/** How an attempt at an upstream instance ended, as the connection saw it. */
export type AttemptResult =
  /** A complete answer. `echo` compares the echoed request id with the one sent. */
  | {
    readonly type: 'answered';
    readonly answer: contracts.UpstreamAnswer;
    readonly echo: 'matched' | 'mismatched' | 'absent';
    /** Declaration of the upstream that it did not run the request. */
    readonly notRun: 'shed' | 'draining' | 'cancelled' | undefined;
    readonly drain: 'leaving' | undefined;
    /** Slots in use as reported by the instance. */
    readonly load: number | undefined;
  }
  /** The answer exceeded the buffer limit and was streamed to the caller to its end. */
  | { readonly type: 'streamed' }
  /** The answer exceeded the buffer limit and broke off while it was streamed; the caller's connection was aborted. */
  | { readonly type: 'stream-broken' }
  /** The connection was refused or never opened; no byte was written. */
  | { readonly type: 'refused' }
  /** The connection closed before a complete answer, after bytes may have been written. */
  | { readonly type: 'reset' }
  /** The answer broke off, or failed its length or digest check. */
  | { readonly type: 'truncated' }
  /** No answer until the deadline of the attempt. */
  | { readonly type: 'timed-out' }
  /** The attempt was cancelled. `confirmed-not-run` only if the upstream said that it did not run the request. */
  | { readonly type: 'cancelled'; readonly confirmation: 'confirmed-not-run' | 'silent' };
