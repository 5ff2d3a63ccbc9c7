import type * as core from '@tamarackferry/core';

/** Part of an answer that is streamed to the caller. */
export type StreamMessage =
  | {
    readonly type: 'stream-started';
    readonly requestId: string;
    readonly attemptId: string;
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
  }
  | { readonly type: 'stream-data'; readonly requestId: string; readonly data: Uint8Array }
  | { readonly type: 'stream-ended'; readonly requestId: string }
  /** The answer of the upstream ended before it was complete. */
  | { readonly type: 'stream-aborted'; readonly requestId: string };

/** Message to the `CallerListener`. */
export type ListenerMessage =
  | Extract<core.vms.VmOutput, { type: 'caller-answer' | 'address-answer' | 'status-answer' | 'evidence-answer' | 'document-accepted' }>
  | StreamMessage
  /** The process stops: each further response asks its caller to close the connection. */
  | { readonly type: 'stop' }
  /** The time limit has expired within which connections without a complete request may delay the close of the listener. */
  | { readonly type: 'close-timed-out'; readonly scope: 'idle' | 'idle-or-receiving' };
