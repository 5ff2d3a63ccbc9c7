import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';
import * as standalone from '@trpc/server/adapters/standalone';

import * as auxiliaryListener from './AuxiliaryListener.js';
import * as catalogUpdateRouter from './CatalogUpdateRouter.js';

/** Options of a `CatalogUpdateServer`. */
export interface CatalogUpdateServerOptions extends auxiliaryListener.AuxiliaryListenerOptions {
  readonly catalogTask: core.tasks.Mailbox<gateway.contracts.CatalogMessage>;
  /** Called for each event to be logged and counted. */
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** HTTP server from which other VMs fetch updates of the catalog. */
export class CatalogUpdateServer extends auxiliaryListener.AuxiliaryListener {
  private readonly handler: http.RequestListener;

  /** @param serverOptions - Options of the server. */
  constructor(serverOptions: CatalogUpdateServerOptions) {
    super(serverOptions);
    this.handler = standalone.createHTTPHandler({
      router: catalogUpdateRouter.buildCatalogUpdateRouter(serverOptions.catalogTask),
      onError: ({ error }) => serverOptions.onEvent('news-request-failed', { detail: error.message }),
    });
  }

  protected override handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.handler(request, response);
  }
}
