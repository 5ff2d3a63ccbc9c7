import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as core from '@tamarackferry/core';

import type * as listenerMessage from './ListenerMessage.js';

// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the entry sets itself.
const DROPPED_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length',
]);

const NOT_RUN_STATUS: Partial<Record<core.contracts.NotRunReason, number>> = {
  'unknown-service': 404,
  'unknown-kind': 404,
  'unknown-member': 403,
  'operation-id-required': 428,
  'operation-id-invalid': 400,
  'operation-id-reused': 409,
  'deadline-exceeded': 504,
};

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly random: core.randomness.RandomSource;
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

/** Owns the HTTP server for callers and the connections that wait for an answer. */
export class CallerListener extends core.tasks.Task<listenerMessage.ListenerMessage> {
  private readonly server: http.Server;

  private readonly responses = new Map<string, http.ServerResponse>();

  /** @param options - Address to listen on and the VM that decides. */
  constructor(private readonly options: CallerListenerOptions) {
    super(options.scheduler);
    this.server = http.createServer((request, response) => this.acceptRequest(request, response));
  }

  /** Starts listening and resolves to the port that was bound. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(this.options.port, this.options.host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : this.options.port);
      });
    });
  }

  /** Closes the server and all idle connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** @internal */
  override handle(message: listenerMessage.ListenerMessage): void {
    switch (message.type) {
      case 'caller-answer':
        this.answerRequest(message.requestId, message.outcome);
        break;
      case 'address-answer':
        this.answerPage(message.queryId, message.answer.type === 'addresses' ? 200 : 503, message.answer);
        break;
      case 'status-answer':
        this.answerPage(message.queryId, 200, message.status);
        break;
      case 'evidence-answer':
        this.answerPage(message.queryId, message.report === undefined ? 404 : 200, message.report ?? { type: 'unknown-member' });
        break;
      // no default
    }
  }

  private acceptRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const requestId = this.options.random.drawToken(16);
    this.responses.set(requestId, response);
    response.on('close', () => {
      this.responses.delete(requestId);
      if (!response.writableFinished) this.options.vm.post({ type: 'caller-gone', requestId });
    });
    const url = new URL(request.url ?? '/', 'http://entry');
    const [, first = '', ...rest] = url.pathname.split('/');
    if (first === '-') {
      this.acceptPageQuery(requestId, rest[0] ?? '', url.searchParams);
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => this.options.vm.post({
      type: 'caller-request',
      requestId,
      request: CallerListener.buildRequest(request, first, `/${rest.join('/')}${url.search}`, Buffer.concat(chunks)),
    }));
  }

  private acceptPageQuery(queryId: string, page: string, query: URLSearchParams): void {
    if (page === 'addresses') this.options.vm.post({ type: 'address-query', queryId, service: query.get('service') ?? '' });
    else if (page === 'status') this.options.vm.post({ type: 'status-query', queryId });
    else if (page === 'evidence') this.options.vm.post({ type: 'evidence-query', queryId, member: query.get('member') ?? '' });
    else this.answerPage(queryId, page === 'health' ? 200 : 404, { type: page === 'health' ? 'healthy' : 'unknown-page' });
  }

  private static buildRequest(request: http.IncomingMessage, service: string, path: string, body: Buffer): core.callers.CallerRequest {
    const header = (name: string): string | undefined => {
      const value = request.headers[name];
      return Array.isArray(value) ? value[0] : value;
    };
    const method = request.method ?? 'GET';
    const operationId = header('tamarack-operation-id');
    const deadline = header('tamarack-deadline-ms');
    return {
      service,
      method,
      path,
      headers: Object.entries(request.headers)
        .filter(([name]) => !DROPPED_HEADERS.has(name) && !name.startsWith('tamarack-'))
        .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value ?? ''] as const),
      body,
      digest: operationId === undefined ? '' : crypto.createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex'),
      member: header('tamarack-member') ?? '',
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      operationId,
    };
  }

  private answerRequest(requestId: string, outcome: core.contracts.Outcome): void {
    const response = this.responses.get(requestId);
    if (response === undefined) return;
    if (outcome.type === 'answered') {
      const { answer } = outcome;
      response.statusCode = answer.status;
      answer.headers.filter(([name]) => !DROPPED_HEADERS.has(name)).forEach(([name, value]) => response.appendHeader(name, value));
      response.setHeader('tamarack-outcome', 'answered');
      response.end(answer.body);
      return;
    }
    response.statusCode = outcome.type === 'unknown' ? 502 : NOT_RUN_STATUS[outcome.reason] ?? 503;
    response.setHeader('tamarack-outcome', outcome.type);
    response.setHeader('tamarack-reason', outcome.reason);
    response.setHeader('content-type', 'application/problem+json');
    if (outcome.type === 'not-run') {
      response.setHeader('retry-after', String(Math.ceil(outcome.retryAfterMs / 1_000)));
      if (outcome.operationPrefix !== undefined) response.setHeader('tamarack-operation-prefix', outcome.operationPrefix);
    }
    response.end(JSON.stringify({ title: outcome.type, type: `urn:tamarackferry:${outcome.reason}`, status: response.statusCode }));
  }

  private answerPage(queryId: string, status: number, page: object): void {
    const response = this.responses.get(queryId);
    if (response === undefined) return;
    response.statusCode = status;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(page));
  }
}
