import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';
import * as standalone from '@trpc/server/adapters/standalone';

import * as addressListener from './AddressListener.js';
import * as newsRouter from './NewsRouter.js';

/** Options of a `NewsServer`. */
export interface NewsServerOptions extends addressListener.AddressListenerOptions {
  readonly catalog: core.tasks.Mailbox<gateway.contracts.CatalogMessage>;
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** Tells other VMs what this one knows of the catalog. */
export class NewsServer extends addressListener.AddressListener {
  private readonly handler: http.RequestListener;

  /** @param newsOptions - Address and the owner of the catalog. */
  constructor(newsOptions: NewsServerOptions) {
    super(newsOptions);
    this.handler = standalone.createHTTPHandler({
      router: newsRouter.buildNewsRouter(newsOptions.catalog),
      onError: ({ error }) => newsOptions.onEvent('news-request-failed', { detail: error.message }),
    });
  }

  protected override answerRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.handler(request, response);
  }
}
