import type * as http from 'node:http';

import type * as byteBudget from '../links/ByteBudget.js';

const NO_BODY_STATUSES = new Set([204, 304]);

/** Options of a `FrontExchange`. */
export interface FrontExchangeOptions {
  /** Request as received. */
  readonly request: http.IncomingMessage;
  /** Response that `send` writes. */
  readonly response: http.ServerResponse;
  /** Time at which the request headers were received. */
  readonly arrivedAtMs: number;
  /** Called if the incomplete body of the request has to give up its memory. */
  readonly onEvict: (exchange: FrontExchange) => void;
}

/** One HTTP request of a caller together with its response. */
export class FrontExchange implements byteBudget.ByteHolder {
  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  private state: 'receiving' | 'received' = 'receiving';

  /** @param options - Request, response, arrival time and handler of an eviction. */
  constructor(readonly options: FrontExchangeOptions) {
    this.options.response.sendDate = false;
  }

  /** Gets the request as received. */
  getRequest(): http.IncomingMessage {
    return this.options.request;
  }

  /**
   * Buffers a chunk of the request body, or returns `exceeded` if the body is longer than allowed.
   * @param chunk - Chunk of the body.
   * @param limitBytes - Maximum length of the body.
   */
  addChunk(chunk: Buffer, limitBytes: number): 'within' | 'exceeded' {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > limitBytes) return 'exceeded';
    this.chunks.push(chunk);
    return 'within';
  }

  /** Joins the chunks of the complete request body and returns it. */
  takeBody(): Buffer {
    this.state = 'received';
    const body = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    this.chunks = [];
    return body;
  }

  /** Whether the body is incomplete. An instance may be working on a request whose body is complete. */
  isEvictable(): boolean {
    return this.state === 'receiving';
  }

  /** Gives up the incomplete body; the request is refused. */
  evict(): void {
    this.chunks = [];
    this.options.onEvict(this);
  }

  /** Whether a response can still be sent. */
  isOpen(): boolean {
    const { response } = this.options;
    return !response.headersSent && !response.destroyed;
  }

  /**
   * Sends the response, unless one was sent already.
   * @param status - Status code.
   * @param headers - Alternating header names and values, without hop-by-hop headers.
   * @param body - Complete body.
   * @param connection - `close` closes the connection after the response.
   */
  send(status: number, headers: readonly string[], body: Uint8Array, connection: 'keep' | 'close'): void {
    if (!this.isOpen()) return;
    const { request, response } = this.options;
    const bodiless = request.method === 'HEAD' || NO_BODY_STATUSES.has(status);
    const connectionHeaders = bodiless ? [] : ['content-length', String(body.byteLength)];
    if (connection === 'close') connectionHeaders.push('connection', 'close');
    response.writeHead(status, [...headers, ...connectionHeaders]);
    response.end(bodiless ? undefined : body);
  }
}
