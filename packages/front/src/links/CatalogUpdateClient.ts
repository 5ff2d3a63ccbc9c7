import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';
import * as trpc from '@trpc/client';

import type * as catalogUpdateRouter from './CatalogUpdateRouter.js';
import * as catalogUpdateDecoder from './CatalogUpdateDecoder.js';

// Short enough that the update can be requested from another VM after a time-out and a change still takes effect in time.
const REQUEST_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 500;
// A connection that was idle may have gone silent; one that was used shortly before serves changes in quick succession.
const IDLE_TIMEOUT_MS = 300;

/** Message to the `CatalogUpdateClient`. */
export type CatalogUpdateClientMessage = Extract<gateway.contracts.CatalogOutput, { type: 'fetch-update' }>;

/** Options of a `CatalogUpdateClient`. */
export interface CatalogUpdateClientOptions {
  /** Port on which all VMs serve catalog updates. */
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly catalogTask: core.tasks.Mailbox<gateway.contracts.CatalogMessage>;
  /** Called for each event to be logged and counted. */
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** Fetches catalog updates from other VMs and posts them to the catalog task. */
export class CatalogUpdateClient extends core.tasks.Task<CatalogUpdateClientMessage> {
  private readonly fetcher = new entry.links.TrpcFetcher({ connectTimeoutMs: CONNECT_TIMEOUT_MS, idleTimeoutMs: IDLE_TIMEOUT_MS });

  /** @param options - Options of the client. */
  constructor(private readonly options: CatalogUpdateClientOptions) {
    super(options.scheduler);
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.fetcher.close();
  }

  /** @internal */
  override handle(message: CatalogUpdateClientMessage): void {
    void this.fetchUpdate(message.host, message.afterRevision);
  }

  private async fetchUpdate(host: string, afterRevision: number): Promise<void> {
    const { port, catalogTask: catalog, onEvent } = this.options;
    const client = trpc.createTRPCClient<catalogUpdateRouter.CatalogUpdateRouter>({
      links: [trpc.httpLink({
        url: `http://${host}:${port}`,
        fetch: (target, init) => this.fetcher.sendRequest(String(target), init as entry.links.FetchOptions),
      })],
    });
    try {
      const response: unknown = await client.news.query(afterRevision, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
      catalogUpdateDecoder.CatalogUpdateDecoder.decode(response).match(
        ({ update, unreadableFields }) => {
          if (unreadableFields.length > 0) onEvent('news-unreadable', { host, field: unreadableFields[0], count: unreadableFields.length });
          catalog.post({ type: 'peer-update', host, update });
        },
        (field) => {
          onEvent('news-unreadable', { host, field });
          catalog.post({ type: 'peer-unreadable', host });
        },
      );
      return;
    } catch (error) {
      onEvent('news-failed', { host, detail: error instanceof Error ? error.message : 'unreached' });
    }
    catalog.post({ type: 'peer-unreached', host });
  }
}
