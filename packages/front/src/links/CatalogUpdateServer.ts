import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';
import * as standalone from '@trpc/server/adapters/standalone';

import * as auxiliaryListener from './AuxiliaryListener.js';
import * as catalogUpdateRouter from './CatalogUpdateRouter.js';

/** Options of a `CatalogUpdateServer`. */
export interface CatalogUpdateServerOptions extends auxiliaryListener.AuxiliaryListenerOptions {
  readonly catalog: core.tasks.Mailbox<gateway.contracts.CatalogMessage>;
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** Tells other VMs what this one knows of the catalog. */
export class CatalogUpdateServer extends auxiliaryListener.AuxiliaryListener {
  private readonly handler: http.RequestListener;

  /** @param newsOptions - Address and the owner of the catalog. */
  constructor(serverOptions: CatalogUpdateServerOptions) {
    super(serverOptions);
    this.handler = standalone.createHTTPHandler({
      router: catalogUpdateRouter.buildCatalogUpdateRouter(serverOptions.catalog),
      onError: ({ error }) => serverOptions.onEvent('news-request-failed', { detail: error.message }),
    });
  }

  protected override handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.handler(request, response);
  }
}
