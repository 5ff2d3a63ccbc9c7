import type * as http from 'node:http';

const NO_BODY_STATUSES = new Set([204, 304]);

/** One HTTP request of a caller together with its response. */
export class FrontExchange {
  private readonly chunks: Buffer[] = [];

  private receivedBytes = 0;

  /**
   * @param request - Request as received.
   * @param response - Response that `send` writes.
   * @param arrivedAtMs - Time at which the request headers were received.
   */
  constructor(
    readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    readonly arrivedAtMs: number,
  ) {
    response.sendDate = false;
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

  /** Gets the request body as buffered so far. */
  getBody(): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
  }

  /** Whether a response can still be sent. */
  isOpen(): boolean {
    return !this.response.headersSent && !this.response.destroyed;
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
    const bodiless = this.request.method === 'HEAD' || NO_BODY_STATUSES.has(status);
    const connectionHeaders = bodiless ? [] : ['content-length', String(body.byteLength)];
    if (connection === 'close') connectionHeaders.push('connection', 'close');
    this.response.writeHead(status, [...headers, ...connectionHeaders]);
    this.response.end(bodiless ? undefined : body);
  }
}
