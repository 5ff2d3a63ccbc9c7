import type * as http from 'node:http';

const NO_BODY_STATUSES = new Set([204, 304]);

/** One request of a caller on its socket, and the answer to it. */
export class FrontExchange {
  private readonly chunks: Buffer[] = [];

  private receivedBytes = 0;

  /**
   * @param request - Request as received.
   * @param response - Answer to send.
   * @param arrivedAtMs - Time at which the head was read.
   */
  constructor(
    readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    readonly arrivedAtMs: number,
  ) {
    response.sendDate = false;
  }

  /**
   * Takes a part of the body. The result tells whether the body is within its limit.
   * @param chunk - Part of the body.
   * @param limitBytes - Greatest body.
   */
  addChunk(chunk: Buffer, limitBytes: number): 'within' | 'exceeded' {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > limitBytes) return 'exceeded';
    this.chunks.push(chunk);
    return 'within';
  }

  /** Gets the body. */
  getBody(): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
  }

  /** Whether nothing was answered yet. */
  isOpen(): boolean {
    return !this.response.headersSent && !this.response.destroyed;
  }

  /**
   * Sends the answer.
   * @param status - Status code.
   * @param headers - Names and values in turn, without those of one connection.
   * @param body - Whole body.
   * @param connection - `close` ends the connection after the answer.
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
