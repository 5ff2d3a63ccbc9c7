import type * as contracts from '../contracts/index.js';

/** How an attempt to send a request to an upstream instance ended, as observed on its connection. */
export type AttemptResult =
  /** A complete answer. `echo` compares the request id in the answer with the one that was sent. */
  | {
    readonly type: 'answered';
    readonly answer: contracts.UpstreamAnswer;
    readonly echo: 'matched' | 'mismatched' | 'absent';
    /** Reason for which the upstream declared that it did not execute the request; undefined without such a declaration. */
    readonly notRun: 'shed' | 'draining' | 'cancelled' | undefined;
    /** `leaving` if the answer carried the signal that the instance is draining. */
    readonly drain: 'leaving' | undefined;
    /** Number of slots in use as reported by the instance; undefined if it sent no report. */
    readonly load: number | undefined;
  }
  /** The answer exceeded the buffer limit and was streamed to the caller completely. */
  | { readonly type: 'streamed' }
  /** The answer exceeded the buffer limit and ended prematurely while it was streamed; the caller's connection was aborted. */
  | { readonly type: 'stream-broken' }
  /** The connection was refused or never opened; no byte was written. */
  | { readonly type: 'refused' }
  /** The connection closed before a complete answer, after bytes may have been written. */
  | { readonly type: 'reset' }
  /** The answer ended prematurely, or failed its length or digest check. */
  | { readonly type: 'truncated' }
  /** No complete answer arrived before the deadline of the attempt. */
  | { readonly type: 'timed-out' }
  /**
   * The attempt was cancelled. `confirmed-not-run`: the upstream confirmed that it did not execute the request.
   * `silent`: no such confirmation, so the request may have been executed.
   */
  | { readonly type: 'cancelled'; readonly confirmation: 'confirmed-not-run' | 'silent' };
