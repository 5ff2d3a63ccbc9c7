import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import type * as upstreams from '../upstreams/index.js';
import * as callerExchange from './CallerExchange.js';
import * as callerSockets from './CallerSockets.js';
import type * as listenerMessage from './ListenerMessage.js';
import * as listenerRefusal from './ListenerRefusal.js';
import * as memberKeys from './MemberKeys.js';
import * as problemDocument from './ProblemDocument.js';
import * as requestHead from './RequestHead.js';

// Longest interval at which the HTTP server checks the time-outs of its connections.
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const REQUEST_ID_LENGTH = 16;

/** Limits on requests and connections of callers. */
export interface ListenerLimits {
  /** Maximum length of a request body. */
  readonly bodyBytes: number;
  /** Time within which the header section of a request must be received. */
  readonly headerTimeoutMs: number;
  /**
   * Time after which an idle keep-alive connection is closed. It is also the additional time, beyond the header time-out,
   * within which a complete request must be received, and the inactivity time-out for sending a response.
   */
  readonly idleTimeoutMs: number;
}

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits: ListenerLimits;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  /** Mailbox of `core.vms.Vm`, which decides the outcome of each request. */
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
  /** Task that streams large answers; receives a message when a caller is ready for more data or has closed its connection. */
  readonly connections: core.tasks.Mailbox<upstreams.ConnectionMessage>;
}

/**
 * Owns the HTTP server for callers and their connections. Posts each complete request to the VM and sends the outcome as the
 * response. Also serves the JSON endpoints of the VM under `/-/`: addresses, status, evidence and health.
 */
export class CallerListener extends core.tasks.Task<listenerMessage.ListenerMessage> {
  private readonly server: http.Server;

  private readonly exchanges = new Map<string, callerExchange.CallerExchange>();

  private readonly sockets = new callerSockets.CallerSockets();

  private readonly keys = new memberKeys.MemberKeys();

  private state: 'open' | 'stopping' = 'open';

  /** @param options - Listen address, limits and the tasks that the listener exchanges messages with. */
  constructor(private readonly options: CallerListenerOptions) {
    super(options.scheduler);
    const { headerTimeoutMs, idleTimeoutMs } = options.limits;
    this.server = http.createServer({
      headersTimeout: headerTimeoutMs,
      requestTimeout: headerTimeoutMs + idleTimeoutMs,
      keepAliveTimeout: idleTimeoutMs,
      connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, headerTimeoutMs),
      insecureHTTPParser: false,
      requireHostHeader: true,
    }, (request, response) => this.handleRequest(request, response));
    this.server.on('connection', (socket) => this.sockets.add(socket));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.handleClientError(error, socket));
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

  /** Stops accepting connections. Resolves when all requests have ended and all connections are closed. */
  close(): Promise<void> {
    this.state = 'stopping';
    this.exchanges.forEach((exchange) => exchange.setConnectionClose());
    // A closed HTTP server no longer checks its time-outs, so a connection without a complete request would delay the close indefinitely.
    const { timers, limits } = this.options;
    const timeouts = (['idle', 'idle-or-receiving'] as const).map((scope) => timers.subscribe({
      mailbox: this,
      message: { type: 'close-timed-out', scope },
      delayMs: limits.headerTimeoutMs + (scope === 'idle-or-receiving' ? limits.idleTimeoutMs : 0),
    }));
    return new Promise((resolve) => {
      this.server.close(() => {
        timeouts.forEach((subscription) => subscription.cancel());
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** @internal */
  override handle(message: listenerMessage.ListenerMessage): void {
    switch (message.type) {
      case 'caller-answer':
        this.getExchange(message.requestId)?.sendOutcome(message.outcome);
        break;
      case 'address-answer':
        this.getExchange(message.queryId)?.sendJson(CallerListener.getAddressStatusCode(message.answer), message.answer);
        break;
      case 'status-answer':
        this.getExchange(message.queryId)?.sendJson(200, message.status);
        break;
      case 'evidence-answer':
        this.getExchange(message.queryId)?.sendJson(message.report === undefined ? 404 : 200, message.report ?? { type: 'unknown-member' });
        break;
      case 'document-accepted':
        this.keys.update(message.members);
        break;
      case 'stream-started':
        this.getExchange(message.requestId)?.beginStream(message.attemptId, message.status, message.headers);
        break;
      case 'stream-data':
        this.streamData(message.requestId, message.data);
        break;
      case 'stream-ended':
        this.getExchange(message.requestId)?.endStream();
        break;
      case 'stream-aborted':
        this.getExchange(message.requestId)?.resetConnection();
        break;
      case 'stop':
        this.state = 'stopping';
        break;
      case 'close-timed-out':
        this.sockets.closeIdle(message.scope);
        break;
      // no default
    }
  }

  // Gets an open request. While the process stops, its response asks the caller to close the connection.
  private getExchange(requestId: string): callerExchange.CallerExchange | undefined {
    const exchange = this.exchanges.get(requestId);
    if (this.state === 'stopping') exchange?.setConnectionClose();
    return exchange;
  }

  private streamData(requestId: string, data: Uint8Array): void {
    const exchange = this.exchanges.get(requestId);
    const attemptId = exchange?.getStreamedAttemptId();
    if (attemptId === undefined) return;
    exchange?.writeData(data, () => this.options.connections.post({ type: 'stream-ready', attemptId }));
  }

  private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const requestId = this.options.random.drawToken(REQUEST_ID_LENGTH);
    const exchange = new callerExchange.CallerExchange({ request, response, writeTimeoutMs: this.options.limits.idleTimeoutMs });
    this.exchanges.set(requestId, exchange);
    const { socket } = request;
    this.sockets.addExchange(socket, exchange);
    response.on('close', () => {
      this.exchanges.delete(requestId);
      this.sockets.removeExchange(socket, exchange);
      this.handleClose(requestId, exchange, response);
    });
    requestHead.RequestHead.parse(request).match(
      (head) => {
        if (head.firstSegment === '-') this.handleEndpointRequest(requestId, exchange, head);
        else this.receiveCallerRequest(requestId, exchange, request, head);
      },
      (refusal) => {
        // The bytes that follow may be a part of this request in the view of another reader.
        if (refusal.reason === 'malformed-request') exchange.setConnectionClose();
        exchange.refuse(refusal);
      },
    );
  }

  private handleClose(requestId: string, exchange: callerExchange.CallerExchange, response: http.ServerResponse): void {
    if (response.writableFinished || exchange.isReceiving()) return;
    const attemptId = exchange.getStreamedAttemptId();
    if (attemptId !== undefined) this.options.connections.post({ type: 'stream-closed', attemptId });
    this.options.vm.post({ type: 'caller-gone', requestId });
  }

  private receiveCallerRequest(
    requestId: string,
    exchange: callerExchange.CallerExchange,
    request: http.IncomingMessage,
    head: requestHead.RequestHead,
  ): void {
    const { bodyBytes } = this.options.limits;
    const tooLargeRefusal = { reason: 'body-too-large', detail: `a body may have ${bodyBytes} bytes` } as const;
    if (this.keys.check(head.getMember(), head.getMemberKey()) === 'refused') {
      exchange.refuse({ reason: 'member-key-invalid', detail: 'tamarack-member-key does not match the member' });
      return;
    }
    if ((head.getContentLength() ?? 0) > bodyBytes) {
      exchange.refuse(tooLargeRefusal);
      return;
    }
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= bodyBytes) chunks.push(chunk);
      else exchange.refuse(tooLargeRefusal);
    });
    request.on('end', () => {
      if (!exchange.isReceiving()) return;
      exchange.markForwarded();
      this.options.vm.post({ type: 'caller-request', requestId, request: head.buildRequest(Buffer.concat(chunks)) });
    });
  }

  private handleEndpointRequest(queryId: string, exchange: callerExchange.CallerExchange, head: requestHead.RequestHead): void {
    const endpoint = head.remainingTarget.split('?')[0];
    const { vm } = this.options;
    if (head.getMethod() !== 'GET') exchange.refuse({ reason: 'method-not-allowed', detail: 'pages are read with GET' });
    else if (endpoint === '/addresses') vm.post({ type: 'address-query', queryId, service: head.query.get('service') ?? '' });
    else if (endpoint === '/status') vm.post({ type: 'status-query', queryId });
    else if (endpoint === '/evidence') this.handleEvidenceQuery(queryId, exchange, head);
    else if (endpoint === '/health') exchange.sendJson(200, { type: 'healthy' });
    else exchange.refuse({ reason: 'unknown-page', detail: 'pages are addresses, status, evidence and health' });
  }

  private handleEvidenceQuery(queryId: string, exchange: callerExchange.CallerExchange, head: requestHead.RequestHead): void {
    const member = head.query.get('member') ?? '';
    const check = this.keys.check(member, head.getMemberKey());
    if (check === 'accepted') this.options.vm.post({ type: 'evidence-query', queryId, member });
    else if (check === 'no-document') exchange.refuse({ reason: 'no-configuration', detail: 'no document is in force yet' });
    // The response is the same for an unknown member and for a wrong key, so that it does not reveal which members exist.
    else exchange.refuse({ reason: 'member-key-invalid', detail: 'tamarack-member-key does not match the member' });
  }

  private handleClientError(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    // A refusal can be sent only if no response to an earlier request is pending on the connection; the caller would take it for
    // that response.
    const openExchanges = this.sockets.listExchanges(socket);
    const refusal = listenerRefusal.toRefusal(error.code ?? '');
    const [firstExchange] = openExchanges;
    if (openExchanges.length === 1 && firstExchange?.isReceiving() === true && socket.writable) {
      firstExchange.setConnectionClose();
      firstExchange.refuse(refusal);
      return;
    }
    if (openExchanges.length > 0 || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = listenerRefusal.REFUSAL_STATUS[refusal.reason];
    // The request could not be parsed and may have an operation id, so an earlier request with the same id may have run.
    socket.end(problemDocument.ProblemDocument.formatResponse({
      outcome: 'unknown', reason: refusal.reason, status, detail: refusal.detail,
    }, http.STATUS_CODES[status] ?? 'Error'), () => socket.destroy());
  }

  private static getAddressStatusCode(answer: core.vms.AddressAnswer): number {
    if (answer.type === 'addresses') return 200;
    return answer.type === 'unknown-service' ? 404 : 503;
  }
}
