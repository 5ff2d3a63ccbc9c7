import type * as http from 'node:http';

import * as blockBuffer from '../links/BlockBuffer.js';
import type * as byteBudget from '../links/ByteBudget.js';
import type * as callerConnection from './CallerConnection.js';

const NO_BODY_STATUSES = new Set([204, 304]);

// Longer bodies stay in parts: joining them would hold them twice.
const MAX_JOINED_BYTES = 1_048_576;

// Memory of a request besides its body and for each name and value of its head, without the content of the connection.
const REQUEST_COST = 4_096;
const COST_PER_FIELD_TEXT = 40;

// Text of the head besides its fields, method and path, and greatest text around a chunk of a body.
const HEAD_FRAME_BYTES = 13;
const CHUNK_FRAME_BYTES = 12;

// A growing body is counted at least this often, although its memory has not grown.
const COUNT_INTERVAL_MS = 500;

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
  // Time at which its body was counted last.
  private countedAtMs = -Infinity;

  private readonly body = new blockBuffer.BlockBuffer();

  private chunkCount = 0;

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
    this.chunkCount += 1;
    return this.body.getLength() + chunk.length > limitBytes ? 'exceeded' : this.body.add(chunk);
  }

  /** Estimates the memory of the request without its body, in bytes. */
  estimateHeadBytes(): number {
    return REQUEST_COST + this.options.request.rawHeaders.length * COST_PER_FIELD_TEXT;
  }

  /** Estimates the length of the request on the wire, as far as it was received. Chunk extensions are not known. */
  estimateWireLength(): callerConnection.WireLength {
    const { request } = this.options;
    const fieldBytes = [...request.rawHeaders, ...request.rawTrailers].reduce((sum, text) => sum + text.length + 2, 0);
    const frames = request.headers['transfer-encoding'] === undefined ? 0 : this.chunkCount + 1;
    const bodyBytes = this.body.getLength() + frames * CHUNK_FRAME_BYTES;
    return {
      bodyBytes,
      totalBytes: HEAD_FRAME_BYTES + (request.method ?? '').length + (request.url ?? '').length + fieldBytes + bodyBytes,
    };
  }

  /**
   * Whether the body is to be counted, since its memory has grown or it was not counted for some time.
   * @param grownBytes - Bytes by which its memory has grown.
   * @param nowMs - Current time.
   */
  needsCount(grownBytes: number, nowMs: number): boolean {
    if (grownBytes === 0 && nowMs - this.countedAtMs < COUNT_INTERVAL_MS) return false;
    this.countedAtMs = nowMs;
    return true;
  }

  /** Takes the complete request body; a long one is returned in parts. */
  takeBody(): Buffer | readonly Buffer[] {
    this.state = 'received';
    return this.body.getLength() > MAX_JOINED_BYTES ? this.body.takeParts() : this.body.take();
  }

  /** Whether the body is incomplete. An instance may be working on a request whose body is complete. */
  isEvictable(): boolean {
    return this.state === 'receiving';
  }

  /** Gives up the body of a request that is answered. */
  clear(): void {
    this.state = 'received';
    this.body.clear();
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
