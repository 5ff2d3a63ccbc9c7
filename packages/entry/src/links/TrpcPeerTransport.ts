import type * as core from '@tamarackferry/core';
import * as trpc from '@trpc/client';
import * as neverthrow from 'neverthrow';

import * as peerCodec from './PeerCodec.js';
import type * as peerRouter from './PeerRouter.js';
import * as peerTransport from './PeerTransport.js';
import * as trpcFetcher from './TrpcFetcher.js';

const CONNECT_TIMEOUT_MS = 2_000;
// Shorter than the idle time-out of the peer's server (30 s), so that the server does not close a connection while a delivery is sent.
const IDLE_TIMEOUT_MS = 25_000;
const MAX_CLIENTS = 256;

/** Sends envelopes by tRPC over HTTP. */
export class TrpcPeerTransport extends peerTransport.PeerTransport {
  private readonly fetcher = new trpcFetcher.TrpcFetcher({ connectTimeoutMs: CONNECT_TIMEOUT_MS, idleTimeoutMs: IDLE_TIMEOUT_MS });

  private readonly clients = new Map<string, trpc.TRPCClient<peerRouter.PeerRouter>>();

  override async deliver(
    to: core.vms.VmIdentity,
    envelopes: readonly core.vms.PeerEnvelope[],
    signal: AbortSignal,
  ): Promise<neverthrow.Result<void, 'unreached'>> {
    try {
      await this.getClient(to).deliver.mutate(envelopes.map(peerCodec.PeerCodec.encode), { signal });
      return neverthrow.ok(undefined);
    } catch {
      return neverthrow.err('unreached');
    }
  }

  override async close(): Promise<void> {
    await this.fetcher.close();
  }

  private getClient(to: core.vms.VmIdentity): trpc.TRPCClient<peerRouter.PeerRouter> {
    const url = `http://${to.host.includes(':') ? `[${to.host}]` : to.host}:${to.peerPort}`;
    const existing = this.clients.get(url);
    if (existing !== undefined) return existing;
    // The client that was created first is removed.
    const [firstAddedUrl] = this.clients.keys();
    if (firstAddedUrl !== undefined && this.clients.size >= MAX_CLIENTS) this.clients.delete(firstAddedUrl);
    const client = trpc.createTRPCClient<peerRouter.PeerRouter>({
      links: [trpc.httpLink({ url, fetch: (target, init) => this.fetcher.sendRequest(String(target), init as trpcFetcher.FetchOptions) })],
    });
    this.clients.set(url, client);
    return client;
  }
}
