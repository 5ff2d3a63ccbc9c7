import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';
import * as neverthrow from 'neverthrow';

import type * as callerDialect from './CallerDialect.js';
import * as frontExchange from './FrontExchange.js';
import type * as frontMessage from './FrontMessage.js';

// Limits until the first configuration is received.
const INITIAL_LIMITS: gateway.contracts.CallerLimits = {
  headerBytes: 16 * 1024, bodyBytes: 1024 * 1024, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000,
};

// Limit on all buffered request bodies together. Bodies stay in memory until their request ends; a VM may have as little as 250 MB.
const MAX_BUFFERED_BODY_BYTES = 96 * 1024 * 1024;

// Interval at which the server checks the header and idle time-outs, and the retry time stated while the buffer limit is reached.
const LIMIT_CHECK_INTERVAL_MS = 1_000;
const EMPTY_BODY = Buffer.alloc(0);
const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

/** Options of a `FrontListener`. */
export interface FrontListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly dialect: callerDialect.CallerDialect;
  /** Task that routes the requests to instances. */
  readonly requestTask: core.tasks.Mailbox<gateway.callers.RoutedRequestMessage>;
  /** Called for each event to be logged and counted. */
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** Owns the HTTP server for requests of callers: buffers each request, posts it to the request task and sends the response. */
export class FrontListener extends core.tasks.Task<frontMessage.FrontMessage> {
  private readonly server: http.Server;

  private readonly exchanges = new Map<string, frontExchange.FrontExchange>();

  private readonly requestIdsBySocket = new Map<net.Socket, Set<string>>();

  private limits = INITIAL_LIMITS;

  // Length of all buffered request bodies.
  private heldBytes = 0;

  private lastRequestNumber = 0;

  private state: 'serving' | 'draining' = 'serving';

  /** @param options - Options of the listener. */
  constructor(private readonly options: FrontListenerOptions) {
    super(options.scheduler);
    this.server = http.createServer({
      connectionsCheckingInterval: LIMIT_CHECK_INTERVAL_MS, noDelay: true, maxHeaderSize: INITIAL_LIMITS.headerBytes,
    });
    // Disables the limit of Node.js on the time to receive a complete request.
    this.server.requestTimeout = 0;
    this.applyLimits(INITIAL_LIMITS);
    this.server.on('connection', (socket) => this.trackSocket(socket));
    this.server.on('request', (request, response) => this.receiveRequest(request, response));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.refuseSocket(error, socket as net.Socket));
  }

  /** Starts listening. Resolves to the bound port or to the error code. */
  listen(): Promise<neverthrow.Result<number, string>> {
    return new Promise((resolve) => {
      this.server.once('error', (error: NodeJS.ErrnoException) => resolve(neverthrow.err(error.code ?? error.message)));
      this.server.listen(this.options.port, this.options.host, () => {
        resolve(neverthrow.ok((this.server.address() as net.AddressInfo).port));
      });
    });
  }

  /** Counts the requests that have no response yet. */
  countOpenRequests(): number {
    return this.exchanges.size;
  }

  /** @internal */
  override handle(message: frontMessage.FrontMessage): void {
    switch (message.type) {
      case 'answer':
        this.send(message.requestId, message.answer.status, message.answer.headers, message.answer.body);
        break;
      case 'refuse': {
        const refusal = this.options.dialect.buildRefusal(message.reason, message.retryAfterMs);
        this.send(message.requestId, refusal.status, refusal.headers, EMPTY_BODY);
        break;
      }
      case 'limits-changed':
        this.applyLimits(message.limits);
        break;
      case 'drain':
        this.state = 'draining';
        break;
      case 'close-listener':
        this.server.close();
        this.server.closeIdleConnections();
        break;
      // no default
    }
  }

  private send(requestId: string, status: number, headers: readonly string[], body: Uint8Array): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) return;
    this.endExchange(requestId, exchange);
    exchange.send(status, headers, body, this.state === 'draining' ? 'close' : 'keep');
  }

  private endExchange(requestId: string, exchange: frontExchange.FrontExchange): void {
    this.exchanges.delete(requestId);
    this.requestIdsBySocket.get(exchange.request.socket)?.delete(requestId);
    this.heldBytes -= exchange.getBody().length;
  }

  private trackSocket(socket: net.Socket): void {
    this.requestIdsBySocket.set(socket, new Set());
    socket.once('close', () => {
      const requestIds = this.requestIdsBySocket.get(socket) ?? new Set();
      this.requestIdsBySocket.delete(socket);
      // A connection with pipelined requests can have several of them open.
      requestIds.forEach((requestId) => {
        const exchange = this.exchanges.get(requestId);
        if (exchange !== undefined) this.endExchange(requestId, exchange);
        this.options.requestTask.post({ type: 'caller-gone', requestId });
      });
    });
  }

  private receiveRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const exchange = new frontExchange.FrontExchange(request, response, this.options.timers.getNowMs());
    request.on('data', (chunk: Buffer) => {
      if (exchange.addChunk(chunk, this.limits.bodyBytes) === 'exceeded') exchange.send(413, [], EMPTY_BODY, 'close');
    });
    request.on('end', () => {
      if (exchange.isOpen()) this.acceptRequest(exchange);
    });
    // After an error Node.js closes the socket, and the close handler of the socket ends the request.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
  }

  private acceptRequest(exchange: frontExchange.FrontExchange): void {
    const { request } = exchange;
    const metadata = this.options.dialect.parseMetadata(request.headers);
    const requestIds = this.requestIdsBySocket.get(request.socket);
    if (requestIds === undefined) return;
    if (metadata === undefined) {
      this.options.onEvent('request-malformed', { method: request.method, path: request.url });
      exchange.send(400, [], EMPTY_BODY, 'keep');
      return;
    }
    const body = exchange.getBody();
    if (this.heldBytes + body.length > MAX_BUFFERED_BODY_BYTES) {
      this.options.onEvent('request-refused', { id: metadata.callerRequestId, reason: 'memory', heldBytes: this.heldBytes });
      const refusal = this.options.dialect.buildRefusal('overloaded', LIMIT_CHECK_INTERVAL_MS);
      exchange.send(refusal.status, refusal.headers, EMPTY_BODY, 'keep');
      return;
    }
    this.lastRequestNumber += 1;
    const requestId = String(this.lastRequestNumber);
    this.heldBytes += body.length;
    this.exchanges.set(requestId, exchange);
    requestIds.add(requestId);
    this.options.requestTask.post({
      type: 'request-arrived',
      arrival: {
        requestId,
        callerRequestId: metadata.callerRequestId,
        method: request.method ?? 'GET',
        host: request.headers.host ?? '',
        path: request.url ?? '/',
        headers: entry.links.HeaderFilter.filterRawHeaders(request.rawHeaders, NO_EXCLUDED_HEADERS),
        body,
        deadlineMs: metadata.deadlineMs,
        arrivedAtMs: exchange.arrivedAtMs,
      },
    });
  }

  private applyLimits(limits: gateway.contracts.CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    // The server reads maxHeaderSize for each new connection, but its type does not declare the property.
    Object.assign(this.server, { maxHeaderSize: limits.headerBytes });
  }

  private refuseSocket(error: NodeJS.ErrnoException, socket: net.Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.options.onEvent('request-unreadable', { code: error.code, detail: error.message });
    if ((this.requestIdsBySocket.get(socket)?.size ?? 0) > 0) {
      // Responses to earlier requests on this connection are outstanding, and an error response must not be written between them.
      socket.pause();
      return;
    }
    const statusLines: NodeJS.Dict<string> = { HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large', ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout' };
    socket.end(`HTTP/1.1 ${statusLines[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}
