import * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';

import * as auxiliaryListener from '../links/AuxiliaryListener.js';
import type * as directoryDialect from './DirectoryDialect.js';

/** Options of a `DirectoryListener`. */
export interface DirectoryListenerOptions extends auxiliaryListener.AuxiliaryListenerOptions {
  /** Port on which all VMs serve callers. */
  readonly frontPort: number;
  readonly dialect: directoryDialect.DirectoryDialect;
  /** Task that selects the VMs that a caller should connect to. */
  readonly membershipTask: core.tasks.Mailbox<gateway.vms.MembershipMessage>;
}

/** HTTP server of the directory: returns the addresses of the VMs that a caller should connect to. */
export class DirectoryListener extends auxiliaryListener.AuxiliaryListener {
  /** @param directoryOptions - Options of the listener. */
  constructor(private readonly directoryOptions: DirectoryListenerOptions) {
    super(directoryOptions);
  }

  protected override handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { dialect, membershipTask: membership, frontPort } = this.directoryOptions;
    const place = request.method === 'GET' ? dialect.parsePlace(request.url ?? '') : undefined;
    if (place === undefined) {
      response.writeHead(404, { 'content-length': 0 }).end();
      return;
    }
    membership.post({
      type: 'directory-requested',
      place,
      replyTo: {
        post: (answer) => {
          const body = dialect.buildBody(answer, frontPort);
          response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body);
        },
      },
    });
  }
}
