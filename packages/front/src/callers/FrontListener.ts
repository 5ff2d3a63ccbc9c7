import * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';
import * as neverthrow from 'neverthrow';

import * as byteBudget from '../links/ByteBudget.js';
import type * as callerConnection from './CallerConnection.js';
import type * as callerDialect from './CallerDialect.js';
import * as collectionPause from './CollectionPause.js';
import * as connectionTable from './ConnectionTable.js';
import * as frontExchange from './FrontExchange.js';
import type * as frontMessage from './FrontMessage.js';
import * as pausedSockets from './PausedSockets.js';
import * as unwrittenResponses from './UnwrittenResponses.js';

// Limits until the first configuration is received.
const INITIAL_LIMITS: gateway.contracts.CallerLimits = {
  headerBytes: 16 * 1024, bodyBytes: 1024 * 1024, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000,
};

// Interval at which the server checks the header and idle time-outs and incomplete bodies, and the retry time stated while the buffer limit
// is reached.
const LIMIT_CHECK_INTERVAL_MS = 1_000;

// Interval at which heads that are not complete are checked while there are many connections. At full load, about 15 MB of them arrive in
// this time.
const HEAD_CHECK_INTERVAL_MS = 50;

// A body that does not grow for this time gives way to others before larger ones that do.
const STALLED_MS = 2_000;

// Share of the limit on bodies that several large incomplete ones may take together: 0.12 of the memory of the process. The fastest link of
// a VM (140 Mbit/s) brings as much in about two seconds on a VM with 250 MB.
const CROWD_SHARE = 0.4;

// Share of the limit on bodies that may wait to be collected after evictions, before no more is read. The runtime starts to collect by
// itself at about 64 MB. It may need the longest pause when it has not started yet.
const UNCOLLECTED_SHARE = 0.6;
const PAUSE_CHECK_INTERVAL_MS = 10;
const MAX_PAUSE_MS = 150;

// Part of the limit on bodies up to which requests without a body are taken.
const MAX_BODILESS_SHARE = 1.1;

// A head may have one field for this number of bytes of its greatest length: no fewer than Node.js keeps by default, which drops the others
// without a word. It also keeps the fields of heads that are not complete, and short ones cost many times their length.
const BYTES_PER_FIELD = 16;
const MIN_MAX_FIELDS = 128;

// Time to receive a request whose caller states no deadline.
const DEFAULT_RECEIVE_MS = 30_000;
const REQUEST_TIMEOUT_STATUS = 408;
const TOO_MANY_FIELDS_STATUS = 431;
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
  /**
   * Maximum length of the bodies that are buffered for all requests together. At the limit, the request with the longest incomplete body is
   * refused with a time to come back, or one that has stalled. A body stays buffered until its request ends.
   */
  readonly bufferBytes: number;
  /** Limits on the connections of callers. */
  readonly connectionLimits: connectionTable.ConnectionLimits;
  /** Limit on the answers that are received or wait to be written, of all requests together. */
  readonly answerBudget: byteBudget.ByteBudget;
  /** Measures the memory of all buffers of the process; missing outside of tests. */
  readonly measureBuffers?: () => number;
  /** Called for each event to be logged and counted. */
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** Owns the HTTP server for requests of callers: buffers each request, posts it to the request task and sends the response. */
export class FrontListener extends core.tasks.Task<frontMessage.FrontMessage> {
  private readonly server: http.Server;

  private readonly exchanges = new Map<string, frontExchange.FrontExchange>();

  private readonly connections: connectionTable.ConnectionTable;

  // Requests whose bodies are being received.
  private readonly receiving = new Set<frontExchange.FrontExchange>();

  // Responses that were sent but are not written to the network completely, since their callers read slowly, with the time until which
  private readonly unwritten: unwrittenResponses.UnwrittenResponses;

  private unreadTimer: core.time.TimerSubscription | undefined;

  private receiveTimer: core.time.TimerSubscription | undefined;

  private readonly collection: collectionPause.CollectionPause;

  private readingPausedAtMs: number | undefined;

  private readonly paused = new pausedSockets.PausedSockets();

  private headTimer: core.time.TimerSubscription | undefined;

  private limits = INITIAL_LIMITS;

  private maxFields = MIN_MAX_FIELDS;

  // Complete bodies are never evicted: an instance may be working on their requests.
  private readonly budget: byteBudget.ByteBudget;

  private lastRequestNumber = 0;

  private state: 'serving' | 'draining' = 'serving';

  /** @param options - Options of the listener. */
  constructor(private readonly options: FrontListenerOptions) {
    super(options.scheduler);
    this.unwritten = new unwrittenResponses.UnwrittenResponses(options.answerBudget);
    this.budget = new byteBudget.ByteBudget(options.bufferBytes, {
      minEvictedBytes: 0, crowdShare: CROWD_SHARE, stalledMs: STALLED_MS, timers: options.timers,
    });
    this.collection = new collectionPause.CollectionPause(options.bufferBytes * UNCOLLECTED_SHARE, options.measureBuffers);
    this.connections = new connectionTable.ConnectionTable(options.connectionLimits);
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

  /** Counts the requests whose response has not been written to the network completely. */
  countOpenRequests(): number {
    return this.exchanges.size + this.unwritten.count();
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
      case 'receive-check-due':
        this.receiveTimer = undefined;
        this.refuseOverdue();
        break;
      case 'head-check-due':
        this.headTimer = undefined;
        this.limitHeads();
        this.startHeadTimer();
        break;
      case 'unread-check-due':
        this.unreadTimer = undefined;
        this.closeUnread();
        this.startUnreadTimer();
        break;
      case 'resume-check-due':
        this.resumeReading();
        break;
      case 'close-listener':
        // Only stops listening. The method of the HTTP server also closes connections that it takes for idle, which includes those on which
        // an answer is still being written. Kept connections remain until the process ends.
        net.Server.prototype.close.call(this.server);
        break;
      // no default
    }
  }

  private send(requestId: string, status: number, headers: readonly string[], body: Uint8Array): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) return;
    this.endExchange(requestId, exchange);
    this.sendResponse(exchange, status, headers, body, this.state === 'draining' ? 'close' : 'keep');
  }

  private sendResponse(
    exchange: frontExchange.FrontExchange,
    status: number,
    headers: readonly string[],
    body: Uint8Array,
    wanted: 'keep' | 'close',
  ): void {
    const connection = this.connections.get(exchange.getRequest().socket);
    if (connection === undefined || !exchange.isOpen()) return;
    const { response } = exchange.options;
    this.budget.release(exchange);
    exchange.clear();
    // The response waits for those before it on the connection, so the request counts until it is written.
    if (connection.isPipelined()) this.budget.record(exchange, exchange.estimateHeadBytes());
    // An answer is held until the caller has read it, and those before it on the connection.
    this.unwritten.add(exchange, body.byteLength, this.options.timers.getNowMs());
    connection.responses.add(response);
    this.startUnreadTimer();
    response.once('close', () => this.endResponse(response));
    exchange.send(status, headers, body, connection.decideAfter(exchange, wanted));
  }

  private endResponse(response: http.ServerResponse): void {
    const exchange = this.unwritten.remove(response);
    if (exchange === undefined) return;
    this.connections.get(response.req.socket)?.responses.delete(response);
    this.budget.release(exchange);
  }

  private endExchange(requestId: string, exchange: frontExchange.FrontExchange): void {
    this.exchanges.delete(requestId);
    this.connections.get(exchange.getRequest().socket)?.requestIds.delete(requestId);
    this.budget.release(exchange);
  }

  private trackSocket(socket: net.Socket): void {
    const connection = this.connections.add(socket);
    connection.maxFieldTexts = 2 * this.maxFields;
    socket.once('close', () => {
      this.connections.remove(socket);
      this.paused.remove(socket);
      connection.receiving.forEach((exchange) => {
        this.receiving.delete(exchange);
        this.budget.release(exchange);
      });
      // Node.js reports no end of a response that waits for an earlier one on the connection.
      connection.responses.forEach((response) => this.endResponse(response));
      // A connection with pipelined requests can have several of them open.
      connection.requestIds.forEach((requestId) => {
        const exchange = this.exchanges.get(requestId);
        if (exchange !== undefined) this.endExchange(requestId, exchange);
        this.options.requestTask.post({ type: 'caller-gone', requestId });
      });
    });
    this.makeRoom(socket);
    this.startHeadTimer();
  }

  private makeRoom(newest: net.Socket): void {
    if (!this.connections.isFull()) return;
    const leastUseful = this.connections.findLeastUseful(newest);
    if (leastUseful !== undefined) this.closeConnection(leastUseful, 'connections');
    else if (!this.budget.evictFirst()) this.closeConnection(newest, 'connections');
  }

  // Heads behind a request in progress must not grow further. They are read on when the request is answered.
  private limitHeads(): void {
    this.connections.listExcessHeads().forEach((socket) => this.closeConnection(socket, 'heads'));
    const heldBack = new Set(this.connections.listHeldBack());
    this.paused.releaseAll('heads', heldBack);
    heldBack.forEach((socket) => this.paused.add(socket, 'heads'));
  }

  // With `connections` and `heads`, only to be called for connections without a request that was passed on and is not answered yet: its
  // answer would be lost.
  private closeConnection(socket: net.Socket, reason: 'connections' | 'heads' | 'unread'): void {
    this.options.onEvent('connection-closed', { reason, open: this.connections.countConnections() });
    // The socket reports its end later, and must not be chosen again until then.
    this.connections.remove(socket);
    socket.destroy();
  }

  private startUnreadTimer(): void {
    if (this.unreadTimer !== undefined || this.unwritten.count() === 0) return;
    this.unreadTimer = this.options.timers.subscribe({
      mailbox: this, message: { type: 'unread-check-due' as const }, delayMs: LIMIT_CHECK_INTERVAL_MS,
    });
  }

  // Answers that nobody reads would take the memory of those that others wait for.
  private closeUnread(): void {
    this.unwritten.listUnread(this.options.timers.getNowMs()).forEach((response) => this.closeConnection(response.req.socket, 'unread'));
  }

  private startHeadTimer(): void {
    if (this.headTimer !== undefined || !this.connections.needsHeadCheck()) return;
    this.headTimer = this.options.timers.subscribe({
      mailbox: this, message: { type: 'head-check-due' as const }, delayMs: HEAD_CHECK_INTERVAL_MS,
    });
  }

  private receiveRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const exchange = new frontExchange.FrontExchange({
      request,
      response,
      arrivedAtMs: this.options.timers.getNowMs(),
      onEvict: (evicted) => this.refuseBody(evicted),
    });
    // After an error Node.js closes the socket, and the close handler of the socket ends the request.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const connection = this.connections.get(request.socket);
    if (connection?.accept(exchange) !== true) {
      // Further requests on the connection would be held until it closes.
      request.socket.pause();
      return;
    }
    this.connections.beginRequest(request.socket);
    response.once('close', () => {
      this.connections.endRequest(request.socket);
      if (connection.isClosable()) this.paused.release(request.socket, 'heads');
      this.startHeadTimer();
    });
    const invalidField = entry.links.RequestFields.describeInvalid(request.rawHeaders);
    if (invalidField !== undefined) {
      this.options.onEvent('request-unreadable', { code: 'invalid-field', detail: invalidField });
      this.sendResponse(exchange, 400, [], EMPTY_BODY, 'close');
      return;
    }
    // Both limits may be in force: the parser keeps the one of the time at which the connection was opened.
    if (request.rawHeaders.length >= Math.min(2 * this.maxFields, connection.maxFieldTexts)) {
      this.options.onEvent('request-unreadable', { code: 'too-many-fields' });
      this.sendResponse(exchange, TOO_MANY_FIELDS_STATUS, [], EMPTY_BODY, 'close');
      return;
    }
    this.startReceiving(exchange, connection);
    request.on('data', (chunk: Buffer) => this.receiveChunk(exchange, chunk));
    request.on('end', () => {
      this.receiving.delete(exchange);
      connection.receiving.delete(exchange);
      connection.recordParsed(exchange.estimateWireLength(), request.socket.bytesRead);
      if (exchange.isOpen()) this.countFollowingHead(exchange, connection);
      if (exchange.isOpen()) this.acceptRequest(exchange);
      else this.budget.release(exchange);
    });
  }

  private receiveChunk(exchange: frontExchange.FrontExchange, chunk: Buffer): void {
    if (!exchange.isOpen()) return;
    const grownBytes = exchange.addChunk(chunk, this.limits.bodyBytes);
    if (grownBytes === 'exceeded') {
      this.endReceiving(exchange);
      this.sendResponse(exchange, 413, [], EMPTY_BODY, 'close');
      return;
    }
    // Most chunks of a body in very small chunks fill a block that is counted already. A body that grows must not be taken for stalled.
    const nowMs = this.options.timers.getNowMs();
    if (exchange.needsCount(grownBytes, nowMs)) this.budget.add(exchange, grownBytes);
    if (this.readingPausedAtMs !== undefined) this.paused.add(exchange.getRequest().socket, 'collection');
    else if (this.collection.recordRead(chunk.length, this.countHeldBytes(), nowMs) === 'pause') this.pauseReading();
  }

  private countHeldBytes(): number {
    return this.budget.getHeldBytes() + this.options.answerBudget.getHeldBytes();
  }

  private pauseReading(): void {
    this.readingPausedAtMs = this.options.timers.getNowMs();
    this.receiving.forEach((exchange) => this.paused.add(exchange.getRequest().socket, 'collection'));
    this.startResumeTimer();
  }

  private resumeReading(): void {
    const pausedMs = this.options.timers.getNowMs() - (this.readingPausedAtMs ?? 0);
    if (pausedMs < MAX_PAUSE_MS && !this.collection.isCollected(this.countHeldBytes())) {
      this.startResumeTimer();
      return;
    }
    this.readingPausedAtMs = undefined;
    // Also those whose body is complete by now: the next request follows on the connection.
    this.paused.releaseAll('collection');
  }

  private startResumeTimer(): void {
    this.options.timers.subscribe({ mailbox: this, message: { type: 'resume-check-due' as const }, delayMs: PAUSE_CHECK_INTERVAL_MS });
  }

  private startReceiving(exchange: frontExchange.FrontExchange, connection: callerConnection.CallerConnection): void {
    this.receiving.add(exchange);
    connection.receiving.add(exchange);
    this.receiveTimer ??= this.options.timers.subscribe({
      mailbox: this, message: { type: 'receive-check-due' as const }, delayMs: LIMIT_CHECK_INTERVAL_MS,
    });
    this.countHead(exchange);
  }

  // Requests without a body are not refused because complete bodies fill the budget.
  private countHead(exchange: frontExchange.FrontExchange): void {
    const { headers } = exchange.getRequest();
    const isBodiless = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
    const bytes = exchange.estimateHeadBytes();
    if (isBodiless && this.budget.getHeldBytes() < this.options.bufferBytes * MAX_BODILESS_SHARE) this.budget.record(exchange, bytes);
    else this.budget.add(exchange, bytes);
  }

  // The connection of a request that is passed on must not be closed for the unfinished head that was read with its end, so the memory of
  // that head counts with the request. Without room for it, the request is refused here.
  private countFollowingHead(exchange: frontExchange.FrontExchange, connection: callerConnection.CallerConnection): void {
    const cost = connectionTable.ConnectionTable.estimateHeadCost(connection, exchange.getRequest().socket.bytesRead);
    if (cost > 0) this.budget.add(exchange, cost);
  }

  private endReceiving(exchange: frontExchange.FrontExchange): void {
    this.receiving.delete(exchange);
    this.connections.get(exchange.getRequest().socket)?.receiving.delete(exchange);
    this.budget.release(exchange);
  }

  // The request was not passed on, so the refusal states that it has not run.
  private refuseBody(exchange: frontExchange.FrontExchange): void {
    this.endReceiving(exchange);
    this.collection.recordEviction(this.options.timers.getNowMs());
    // What is read until the connection closes would only wait to be collected.
    exchange.getRequest().pause();
    const metadata = this.options.dialect.parseMetadata(exchange.getRequest().headers);
    this.options.onEvent('request-refused', { id: metadata?.callerRequestId, reason: 'memory', heldBytes: this.budget.getHeldBytes() });
    const refusal = this.options.dialect.buildRefusal('overloaded', LIMIT_CHECK_INTERVAL_MS);
    this.sendResponse(exchange, refusal.status, refusal.headers, EMPTY_BODY, 'close');
  }

  // Without this limit, bodies that are sent slowly without end would hold the memory of all others.
  private refuseOverdue(): void {
    const nowMs = this.options.timers.getNowMs();
    this.receiving.forEach((exchange) => {
      const { headers } = exchange.getRequest();
      const metadata = this.options.dialect.parseMetadata(headers);
      if (nowMs - exchange.options.arrivedAtMs < (metadata?.deadlineMs ?? DEFAULT_RECEIVE_MS)) return;
      this.options.onEvent('request-refused', { id: metadata?.callerRequestId, reason: 'incomplete' });
      this.endReceiving(exchange);
      this.sendResponse(exchange, REQUEST_TIMEOUT_STATUS, [], EMPTY_BODY, 'close');
    });
    if (this.receiving.size > 0) {
      this.receiveTimer = this.options.timers.subscribe({
        mailbox: this, message: { type: 'receive-check-due' as const }, delayMs: LIMIT_CHECK_INTERVAL_MS,
      });
    }
  }

  private acceptRequest(exchange: frontExchange.FrontExchange): void {
    const request = exchange.getRequest();
    const metadata = this.options.dialect.parseMetadata(request.headers);
    const connection = this.connections.get(request.socket);
    if (connection === undefined) {
      this.budget.release(exchange);
      return;
    }
    if (metadata === undefined) {
      this.options.onEvent('request-malformed', { method: request.method, path: request.url });
      this.budget.release(exchange);
      this.sendResponse(exchange, 400, [], EMPTY_BODY, 'keep');
      return;
    }
    this.lastRequestNumber += 1;
    const requestId = String(this.lastRequestNumber);
    this.exchanges.set(requestId, exchange);
    connection.requestIds.add(requestId);
    this.options.requestTask.post({
      type: 'request-arrived',
      arrival: {
        requestId,
        callerRequestId: metadata.callerRequestId,
        method: request.method ?? 'GET',
        host: request.headers.host ?? '',
        path: request.url ?? '/',
        headers: entry.links.HeaderFilter.filterRawHeaders(request.rawHeaders, NO_EXCLUDED_HEADERS),
        body: this.takeBody(exchange),
        credential: metadata.credential,
        deadlineMs: metadata.deadlineMs,
        arrivedAtMs: exchange.options.arrivedAtMs,
      },
    });
  }

  private takeBody(exchange: frontExchange.FrontExchange): Buffer | readonly Buffer[] {
    this.budget.settle(exchange);
    return exchange.takeBody();
  }

  private applyLimits(limits: gateway.contracts.CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.maxFields = Math.max(MIN_MAX_FIELDS, Math.floor(limits.headerBytes / BYTES_PER_FIELD));
    // The parser keeps no more fields than this, so a request that has them all may have lost others.
    this.server.maxHeadersCount = this.maxFields;
    // The server reads maxHeaderSize for each new connection, but its type does not declare the property.
    Object.assign(this.server, { maxHeaderSize: limits.headerBytes });
  }

  private refuseSocket(error: NodeJS.ErrnoException, socket: net.Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.options.onEvent('request-unreadable', { code: error.code, detail: error.message });
    if ((this.connections.get(socket)?.requestIds.size ?? 0) > 0) {
      // Responses to earlier requests on this connection are outstanding, and an error response must not be written between them.
      socket.pause();
      return;
    }
    const statusLines: NodeJS.Dict<string> = { HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large', ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout' };
    const statusLine = statusLines[error.code ?? ''] ?? '400 Bad Request';
    // A client that keeps its side open would otherwise keep the connection, which is taken for one with a request in progress.
    socket.end(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => socket.destroySoon());
  }
}
