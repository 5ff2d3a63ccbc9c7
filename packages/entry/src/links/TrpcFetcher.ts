import * as undici from 'undici';

/** What the link of tRPC passes to its `fetch`. */
export interface FetchOptions {
  readonly method?: string;
  readonly body?: string;
  readonly signal?: AbortSignal | null;
}

/** Options of a `TrpcFetcher`. */
export interface TrpcFetcherOptions {
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Sends the calls of tRPC clients over kept connections, one to each VM. */
export class TrpcFetcher {
  private readonly agent: undici.Agent;

  /** @param options - Times of the connections. */
  constructor(options: TrpcFetcherOptions) {
    this.agent = new undici.Agent({
      connections: 1,
      pipelining: 1,
      connect: { timeout: options.connectTimeoutMs },
      keepAliveTimeout: options.idleTimeoutMs,
      keepAliveMaxTimeout: options.idleTimeoutMs,
    });
  }

  /**
   * Sends one call: a plain request, since the further headers of `fetch` would double the size of a small call.
   * @param url - URL of the call.
   * @param init - Method, body and signal.
   */
  async fetchFrom(url: string, init: FetchOptions): Promise<Response> {
    const response = await undici.request(url, {
      dispatcher: this.agent,
      method: init.method === 'GET' ? 'GET' : 'POST',
      headers: { 'content-type': 'application/json' },
      body: init.body ?? null,
      signal: init.signal ?? null,
    });
    return new Response(await response.body.text(), { status: response.statusCode });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
