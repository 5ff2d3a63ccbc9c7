import type * as core from '@tamarackferry/core';

/** The time of an exchange is over. */
export interface ExchangeOverdue {
  readonly type: 'exchange-overdue';
  readonly exchangeId: string;
}

/** Message to the `UpstreamConnections`. */
export type ConnectionMessage =
  | Extract<core.vms.VmOutput, { type: 'send-attempt' | 'cancel-attempt' | 'stream-attempt' | 'send-probe' }>
  | ExchangeOverdue
  /** The caller took the part of a streamed answer that it was sent. */
  | { readonly type: 'stream-ready'; readonly attemptId: string }
  /** The caller of a streamed answer closed its connection. */
  | { readonly type: 'stream-closed'; readonly attemptId: string };
