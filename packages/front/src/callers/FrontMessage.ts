import type * as gateway from '@tamarackferry/gateway';

/** Message to the `FrontListener`. */
export type FrontMessage =
  | Extract<gateway.callers.GatewayOutput, { type: 'answer' | 'refuse' | 'limits-changed' }>
  | { readonly type: 'drain' }
  | { readonly type: 'close-listener' };
