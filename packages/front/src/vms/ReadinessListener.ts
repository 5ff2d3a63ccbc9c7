import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';

import * as auxiliaryListener from '../links/AuxiliaryListener.js';

/** Options of a `ReadinessListener`. */
export interface ReadinessListenerOptions extends auxiliaryListener.AuxiliaryListenerOptions {
  readonly path: string;
  /** Task that owns the state of the VM. */
  readonly membershipTask: core.tasks.Mailbox<gateway.vms.MembershipMessage>;
}

/** HTTP server of the readiness check: returns 200 if this VM serves callers, else 503. */
export class ReadinessListener extends auxiliaryListener.AuxiliaryListener {
  /** @param readinessOptions - Options of the listener. */
  constructor(private readonly readinessOptions: ReadinessListenerOptions) {
    super(readinessOptions);
  }

  protected override handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const path = (request.url ?? '').split('?')[0];
    if (path !== this.readinessOptions.path) {
      response.writeHead(404, { 'content-length': 0 }).end();
      return;
    }
    this.readinessOptions.membershipTask.post({
      type: 'readiness-requested',
      replyTo: {
        post: (state) => {
          // A VM in state `slow`, whose timers fire late, still serves callers.
          response.writeHead(state === 'ready' || state === 'slow' ? 200 : 503, { 'content-length': 0 }).end();
        },
      },
    });
  }
}
