import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';

import * as listenerRefusal from './ListenerRefusal.js';
import * as problemDocument from './ProblemDocument.js';

const NOT_RUN_STATUS: Partial<Record<core.contracts.NotRunReason, number>> = {
  'unknown-service': 404,
  'unknown-kind': 404,
  'unknown-member': 403,
  'operation-id-required': 428,
  'operation-id-invalid': 400,
  'operation-id-reused': 409,
  'deadline-exceeded': 504,
  'refused-by-upstream': 502,
};

/** Options of a `CallerExchange`. */
export interface CallerExchangeOptions {
  /** Request whose head was parsed. */
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Time after which a caller that does not read its answer is given up. */
  readonly writeTimeoutMs: number;
}

/** One request of a caller and its answer. */
export class CallerExchange {
  private state: 'receiving' | 'waiting' | 'streaming' | 'ended' = 'receiving';

  private attemptId: string | undefined;

  private readonly response: http.ServerResponse;

  /** @param options - Request and its answer. */
  constructor(private readonly options: CallerExchangeOptions) {
    this.response = options.response;
  }

  /** Whether the body of the request is still being received. */
  isReceiving(): boolean {
    return this.state === 'receiving';
  }

  /** Marks the request as handed to the VM. */
  setWaiting(): void {
    this.state = 'waiting';
  }

  /** Asks the caller to close the connection after the answer. */
  setConnectionClose(): void {
    if (!this.response.headersSent) this.response.setHeader('connection', 'close');
  }

  /** Attempt whose answer is streamed, or undefined. */
  getStreamedAttemptId(): string | undefined {
    return this.state === 'streaming' ? this.attemptId : undefined;
  }

  /**
   * Refuses the request. With an operation id the outcome is unknown, since an earlier copy may have run.
   * @param refusal - Why the request is refused.
   */
  refuse(refusal: listenerRefusal.ListenerRefusal): void {
    this.sendProblem({
      outcome: this.options.request.headers['tamarack-operation-id'] === undefined ? 'not-run' : 'unknown',
      reason: refusal.reason,
      status: listenerRefusal.REFUSAL_STATUS[refusal.reason],
      detail: refusal.detail,
    });
  }

  /**
   * Answers the request with the outcome that the VM decided.
   * @param outcome - Outcome of the request.
   */
  sendOutcome(outcome: core.contracts.Outcome): void {
    if (this.state === 'streaming') {
      this.resetConnection();
      return;
    }
    if (outcome.type === 'answered') {
      this.writeHead(outcome.answer.status, outcome.answer.headers);
      this.state = 'ended';
      this.response.end(outcome.answer.body);
      return;
    }
    if (outcome.type === 'not-run' && !this.response.headersSent) {
      this.response.setHeader('retry-after', String(Math.ceil(outcome.retryAfterMs / 1_000)));
      if (outcome.operationPrefix !== undefined) this.response.setHeader('tamarack-operation-prefix', outcome.operationPrefix);
    }
    this.sendProblem({
      outcome: outcome.type, reason: outcome.reason, status: outcome.type === 'unknown' ? 502 : NOT_RUN_STATUS[outcome.reason] ?? 503,
    });
  }

  /**
   * Answers with a JSON page.
   * @param status - Status code.
   * @param page - Content of the page.
   */
  sendJson(status: number, page: object): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.setWriteTimeout();
    this.response.statusCode = status;
    this.response.setHeader('content-type', 'application/json');
    this.response.end(JSON.stringify(page));
  }

  /**
   * Begins a streamed answer.
   * @param attemptId - Attempt that the answer comes from.
   * @param status - Status code.
   * @param fields - Header fields.
   */
  beginStream(attemptId: string, status: number, fields: readonly (readonly [string, string])[]): void {
    if (this.state !== 'waiting') return;
    this.state = 'streaming';
    this.attemptId = attemptId;
    this.writeHead(status, fields);
  }

  /**
   * Writes a part of a streamed answer.
   * @param data - Part of the body.
   * @param onReady - Called when the caller took it.
   */
  writeData(data: Uint8Array, onReady: () => void): void {
    if (this.state !== 'streaming') return;
    if (this.response.write(data)) onReady();
    else this.response.once('drain', onReady);
  }

  /** Ends a streamed answer. */
  endStream(): void {
    if (this.state !== 'streaming') return;
    this.state = 'ended';
    this.response.end();
  }

  /** Aborts the connection, so that the caller sees that the answer is incomplete. */
  resetConnection(): void {
    this.state = 'ended';
    // A reset is visible also to callers of HTTP/1.0, for whom a plain close ends an answer.
    const { socket } = this.response;
    if (socket === null || socket.destroyed) this.response.destroy();
    else socket.resetAndDestroy();
  }

  private sendProblem(fields: problemDocument.ProblemFields): void {
    if (this.state === 'ended' || this.response.headersSent) return;
    this.state = 'ended';
    this.setWriteTimeout();
    this.response.statusCode = fields.status;
    this.response.setHeader('tamarack-outcome', fields.outcome);
    this.response.setHeader('tamarack-reason', fields.reason);
    this.response.setHeader('content-type', problemDocument.ProblemDocument.MEDIA_TYPE);
    this.response.end(problemDocument.ProblemDocument.encode(fields));
  }

  private setWriteTimeout(): void {
    this.response.setTimeout(this.options.writeTimeoutMs, () => this.response.destroy());
  }

  private writeHead(status: number, fields: readonly (readonly [string, string])[]): void {
    this.setWriteTimeout();
    this.response.statusCode = status;
    fields.forEach(([name, value]) => this.response.appendHeader(name, value));
    this.response.setHeader('tamarack-outcome', 'answered');
  }
}
