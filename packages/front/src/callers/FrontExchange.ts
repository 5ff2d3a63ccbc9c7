import type * as http from 'node:http';

import * as blockBuffer from '../links/BlockBuffer.js';
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
  private readonly body = new blockBuffer.BlockBuffer();

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
   * Buffers a chunk of the request body. Returns by how many bytes its memory has grown, or `exceeded` if the body is longer than allowed.
   * @param chunk - Chunk of the body.
   * @param limitBytes - Maximum length of the body.
   */
  addChunk(chunk: Buffer, limitBytes: number): number | 'exceeded' {
    return this.body.getLength() + chunk.length > limitBytes ? 'exceeded' : this.body.add(chunk);
  }

  /** Takes the complete request body. */
  takeBody(): Buffer {
    this.state = 'received';
    return this.body.take();
  }

  /** Whether the body is incomplete. An instance may be working on a request whose body is complete. */
  isEvictable(): boolean {
    return this.state === 'receiving';
  }

  /** Gives up the incomplete body; the request is refused. */
  evict(): void {
    this.body.clear();
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
