import type * as core from '@tamarackferry/core';
import * as trpc from '@trpc/client';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

import * as peerCodec from './PeerCodec.js';
import type * as peerRouter from './PeerRouter.js';
import * as peerTransport from './PeerTransport.js';

const CONNECT_TIMEOUT_MS = 2_000;
// Below the idle time-out of the server, so that a delivery does not meet the close of its connection.
const IDLE_TIMEOUT_MS = 25_000;
const MAX_CLIENTS = 256;

/** What the link of tRPC passes to its `fetch`. */
interface FetchInit {
  readonly body: string;
  readonly signal?: AbortSignal | null;
}

/** Carries envelopes by tRPC over HTTP. */
export class TrpcPeerTransport extends peerTransport.PeerTransport {
  private readonly agent = new undici.Agent({
    connections: 1,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
  });

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
    await this.agent.destroy();
  }

  private getClient(to: core.vms.VmIdentity): trpc.TRPCClient<peerRouter.PeerRouter> {
    const url = `http://${to.host.includes(':') ? `[${to.host}]` : to.host}:${to.peerPort}`;
    const known = this.clients.get(url);
    if (known !== undefined) return known;
    const [oldest] = this.clients.keys();
    if (oldest !== undefined && this.clients.size >= MAX_CLIENTS) this.clients.delete(oldest);
    const client = trpc.createTRPCClient<peerRouter.PeerRouter>({
      links: [trpc.httpLink({ url, fetch: (target, init) => this.fetchFrom(String(target), init as FetchInit) })],
    });
    this.clients.set(url, client);
    return client;
  }

  // A plain request, since the further headers of `fetch` would double the size of a small delivery.
  private async fetchFrom(url: string, init: FetchInit): Promise<Response> {
    const response = await undici.request(url, {
      dispatcher: this.agent,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: init.body,
      signal: init.signal ?? null,
    });
    return new Response(await response.body.text(), { status: response.statusCode });
  }
}
