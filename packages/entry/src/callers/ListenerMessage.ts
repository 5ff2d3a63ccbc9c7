import type * as core from '@tamarackferry/core';

/** Part of an answer that is streamed to its caller. */
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
  /** The upstream's answer broke off. */
  | { readonly type: 'stream-aborted'; readonly requestId: string };

/** Message to the `CallerListener`. */
export type ListenerMessage =
  | Extract<core.vms.VmOutput, { type: 'caller-answer' | 'address-answer' | 'status-answer' | 'evidence-answer' | 'document-accepted' }>
  | StreamMessage
  /** The process stops: answers ask callers to close their connections. */
  | { readonly type: 'stop' }
  /** Connections on which no answer is due have kept the closed listener open for too long. */
  | { readonly type: 'close-timed-out'; readonly scope: 'unused' | 'receiving' };
