import type * as gateway from '@tamarackferry/gateway';

/**
 * Message to the `FrontListener`. `drain`: all further responses get `Connection: close`.
 * `close-listener`: no more connections are accepted.
 */
export type FrontMessage =
  | Extract<gateway.callers.GatewayOutput, { type: 'answer' | 'refuse' | 'limits-changed' }>
  | { readonly type: 'drain' }
  // Timer: the deadlines of requests whose bodies are being received are to be checked.
  | { readonly type: 'receive-check-due' }
  // Timer: the heads that are not complete are to be checked.
  | { readonly type: 'head-check-due' }
  // Timer: the responses that their callers do not read are to be checked.
  | { readonly type: 'unread-check-due' }
  // Timer: bodies may be read again.
  | { readonly type: 'resume-check-due' }
  | { readonly type: 'close-listener' };
