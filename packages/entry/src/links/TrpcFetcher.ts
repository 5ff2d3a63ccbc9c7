import * as undici from 'undici';

/** Options that the HTTP link of tRPC passes to its `fetch` function, as far as they are used here. */
export interface FetchOptions {
  readonly method?: string;
  readonly body?: string;
  readonly signal?: AbortSignal | null;
}

/** Options of a `TrpcFetcher`. */
export interface TrpcFetcherOptions {
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
}

/** Sends the requests of tRPC clients over persistent connections, one to each VM. */
export class TrpcFetcher {
  private readonly agent: undici.Agent;

  /** @param options - Time-outs of the connections. */
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
   * Sends one tRPC request. Uses `undici.request`, since the additional headers of `fetch` would double the size of a small request.
   * @param url - URL of the procedure.
   * @param options - Method, body and abort signal.
   */
  async sendRequest(url: string, options: FetchOptions): Promise<Response> {
    const response = await undici.request(url, {
      dispatcher: this.agent,
      method: options.method === 'GET' ? 'GET' : 'POST',
      headers: { 'content-type': 'application/json' },
      body: options.body ?? null,
      signal: options.signal ?? null,
    });
    return new Response(await response.body.text(), { status: response.statusCode });
  }

  /** Closes all connections and aborts the requests in flight. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
