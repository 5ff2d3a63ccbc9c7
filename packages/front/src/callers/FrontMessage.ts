import type * as gateway from '@tamarackferry/gateway';

/**
 * Message to the `FrontListener`. `drain`: all further responses get `Connection: close`.
 * `close-listener`: no more connections are accepted.
 */
export type FrontMessage =
  | Extract<gateway.callers.GatewayOutput, { type: 'answer' | 'refuse' | 'limits-changed' }>
  | { readonly type: 'drain' }
  | { readonly type: 'close-listener' };
