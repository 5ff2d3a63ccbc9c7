import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';

import * as addressListener from '../links/AddressListener.js';

/** Options of a `ReadinessListener`. */
export interface ReadinessListenerOptions extends addressListener.AddressListenerOptions {
  readonly path: string;
  readonly membership: core.tasks.Mailbox<gateway.vms.MembershipMessage>;
}

/** Tells whether this VM serves callers. */
export class ReadinessListener extends addressListener.AddressListener {
  /** @param readinessOptions - Address and receiver. */
  constructor(private readonly readinessOptions: ReadinessListenerOptions) {
    super(readinessOptions);
  }

  protected override answerRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const path = (request.url ?? '').split('?')[0];
    if (path !== this.readinessOptions.path) {
      response.writeHead(404, { 'content-length': 0 }).end();
      return;
    }
    this.readinessOptions.membership.post({
      type: 'readiness-requested',
      replyTo: {
        post: (state) => {
          response.writeHead(state === 'ready' || state === 'slow' ? 200 : 503, { 'content-length': 0 }).end();
        },
      },
    });
  }
}
