import type * as core from '@tamarackferry/core';

/** Message to the `UpstreamConnections`. */
export type ConnectionMessage =
  | Extract<core.vms.VmOutput, { type: 'send-attempt' | 'cancel-attempt' | 'stream-attempt' | 'send-probe' }>
  /** The time of an exchange is over. */
  | { readonly type: 'exchange-overdue'; readonly exchangeId: string }
  /** The caller took the part of a streamed answer that it was sent. */
  | { readonly type: 'stream-ready'; readonly attemptId: string }
  /** The caller of a streamed answer closed its connection. */
  | { readonly type: 'stream-closed'; readonly attemptId: string };
