import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';

import * as listenerRefusal from './ListenerRefusal.js';
import * as problemDocument from './ProblemDocument.js';

// Status code for each reason why a request was not run, that is, not executed by any instance; 503 for the reasons not listed.
// `unknown-kind` means that no kind of request in the contract of the service matches the method and the path.
const STATUS_BY_NOT_RUN_REASON: Partial<Record<core.contracts.NotRunReason, number>> = {
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
  /** Request whose header section is parsed; its body may still be incomplete. */
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Time without write progress after which the connection is closed, for callers that do not read their response. */
  readonly writeTimeoutMs: number;
}

/**
 * One HTTP request of a caller together with its response. In the comments, an answer is what an instance of an upstream
 * returned, and the response is what the caller receives.
 */
export class CallerExchange {
  private state: 'receiving' | 'awaiting-outcome' | 'streaming' | 'ended' = 'receiving';

  private attemptId: string | undefined;

  private readonly response: http.ServerResponse;

  /** @param options - Request, its response and the write time-out. */
  constructor(private readonly options: CallerExchangeOptions) {
    this.response = options.response;
  }

  /**
   * Whether the request body is still being received. Requests to the endpoints of the VM under `/-/` are never forwarded to an
   * instance and stay in this state until their response is sent.
   */
  isReceiving(): boolean {
    return this.state === 'receiving';
  }

  /** Marks the request as received completely and passed to `core.vms.Vm`, which decides its outcome. */
  markForwarded(): void {
    this.state = 'awaiting-outcome';
  }

  /** Adds `connection: close` to the response, so that the caller opens a new connection for its next request. */
  setConnectionClose(): void {
    if (!this.response.headersSent) this.response.setHeader('connection', 'close');
  }

  /** Gets the id of the attempt whose answer is being streamed to the caller, or undefined if none is. */
  getStreamedAttemptId(): string | undefined {
    return this.state === 'streaming' ? this.attemptId : undefined;
  }

  /**
   * Refuses the request. The outcome is `unknown` if the request has an operation id (idempotency key), since an earlier request with
   * the same id may have run.
   * @param refusal - Reason of the refusal, which determines the status code.
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
   * Sends the outcome of the request to the caller. If its answer is being streamed, resets the connection instead.
   * @param outcome - Outcome that `core.vms.Vm` decided.
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
      // The caller begins the operation ids of its next requests with this prefix.
      if (outcome.operationPrefix !== undefined) this.response.setHeader('tamarack-operation-prefix', outcome.operationPrefix);
    }
    this.sendProblem({
      outcome: outcome.type, reason: outcome.reason, status: outcome.type === 'unknown' ? 502 : STATUS_BY_NOT_RUN_REASON[outcome.reason] ?? 503,
    });
  }

  /**
   * Sends a JSON document, unless the response has ended.
   * @param status - Status code.
   * @param content - Object that is encoded as JSON.
   */
  sendJson(status: number, content: object): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.setWriteTimeout();
    this.response.statusCode = status;
    this.response.setHeader('content-type', 'application/json');
    this.response.end(JSON.stringify(content));
  }

  /**
   * Sends the status and the headers of a streamed response. Ignored unless the request awaits its outcome, for example after a
   * response was sent.
   * @param attemptId - Id of the attempt that provides the answer.
   * @param status - Status code.
   * @param headers - Names and values of the headers.
   */
  beginStream(attemptId: string, status: number, headers: readonly (readonly [string, string])[]): void {
    if (this.state !== 'awaiting-outcome') return;
    this.state = 'streaming';
    this.attemptId = attemptId;
    this.writeHead(status, headers);
  }

  /**
   * Writes a chunk of a streamed response body.
   * @param data - Chunk of the body.
   * @param onReady - Called when the response accepts more data: at once, or after its write buffer was flushed.
   */
  writeData(data: Uint8Array, onReady: () => void): void {
    if (this.state !== 'streaming') return;
    if (this.response.write(data)) onReady();
    else this.response.once('drain', onReady);
  }

  /** Ends a streamed response. */
  endStream(): void {
    if (this.state !== 'streaming') return;
    this.state = 'ended';
    this.response.end();
  }

  /** Resets the connection, so that the caller detects that the response is incomplete. */
  resetConnection(): void {
    this.state = 'ended';
    // A regular close of the connection would mark the end of the body for HTTP/1.0 callers; a reset is an error for them too.
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

  private writeHead(status: number, headers: readonly (readonly [string, string])[]): void {
    this.setWriteTimeout();
    this.response.statusCode = status;
    headers.forEach(([name, value]) => this.response.appendHeader(name, value));
    this.response.setHeader('tamarack-outcome', 'answered');
  }
}
