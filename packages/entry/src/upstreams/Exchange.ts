import type * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as connectionMessage from './ConnectionMessage.js';
import type * as connectionPool from './ConnectionPool.js';
import type * as responseReader from './ResponseReader.js';
import type * as upstreamConnection from './UpstreamConnection.js';

// Greatest number of interim responses (1xx) to one request. Each is read and dropped, so an instance could send them without end.
const MAX_INTERIM_RESPONSES = 32;

// Statuses that HTTP defines (RFC 9110, section 15).
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * How an exchange ended.
 * - `complete`: the complete response was received and passed all checks.
 * - `refused`: no byte of the request was written, because no connection was available or could be opened, or because the exchange timed
 *   out or was cancelled before.
 * - `reset`: the connection closed before the headers of a response were received.
 * - `truncated`: the response is unusable, because the connection closed within it, it failed a check, it has no valid status or it
 *   exceeded the buffer.
 * - `overdue`: no complete response was received before the time-out.
 * - `cancelled`: this VM cancelled the exchange after it had begun to write the request.
 */
export type ExchangeEnding = 'complete' | 'refused' | 'reset' | 'truncated' | 'overdue' | 'cancelled';

/** Options of an `Exchange`. */
export interface ExchangeOptions {
  /** Identifies the exchange in the message `exchange-overdue`, which reports that its time-out has expired. */
  readonly exchangeId: string;
  /** Connections to the instance. */
  readonly pool: connectionPool.ConnectionPool;
  /** Maximum number of connections to the instance. */
  readonly connectionLimit: number;
  readonly request: undici.Dispatcher.DispatchOptions;
  /** Parses and checks the response. */
  readonly reader: responseReader.ResponseReader;
  readonly timeoutMs: number;
  /** Time after which the request must not be written; the end of the time-out if not given, which can be later than the deadline. */
  readonly writeUntilMs?: number | undefined;
  readonly timers: core.time.TimerService;
  /** Mailbox of the task that owns the exchange. On `exchange-overdue`, the task calls `expire`. */
  readonly owner: core.tasks.Mailbox<connectionMessage.ExchangeOverdue>;
}

/** One request to an instance and its response. Each exchange ends exactly once. */
export abstract class Exchange {
  protected controller: undici.Dispatcher.DispatchController | undefined;

  private connection: upstreamConnection.UpstreamConnection | undefined;

  private timeoutSubscription: core.time.TimerSubscription | undefined;

  private state: 'open' | 'ended' = 'open';

  private interimResponses = 0;

  // Time after which the request must not be written any more.
  private expiresAtMs = Infinity;

  /** @param options - Request, connection pool, reader of the response and time-out. */
  constructor(private readonly options: ExchangeOptions) {}

  /** Sends the request, or ends the exchange as `refused` if no connection is available. */
  send(): void {
    const { options } = this;
    this.connection = options.pool.acquire(options.connectionLimit);
    if (this.connection === undefined) {
      this.end('refused');
      return;
    }
    this.expiresAtMs = options.writeUntilMs ?? options.timers.getNowMs() + Math.max(0, options.timeoutMs);
    this.timeoutSubscription = options.timers.subscribe({
      mailbox: options.owner, message: { type: 'exchange-overdue', exchangeId: options.exchangeId }, delayMs: Math.max(0, options.timeoutMs),
    });
    this.connection.dispatch(options.request, {
      onRequestStart: (controller) => this.handleRequestStart(controller),
      onResponseStart: (controller, status) => this.handleResponseStart(controller, status),
      onResponseData: (_, chunk) => {
        if (this.state === 'open') this.handleBodyChunk(chunk);
      },
      onResponseEnd: () => this.end(this.isResponseComplete() ? 'complete' : 'truncated'),
      onResponseError: () => this.end(this.computeErrorEnding()),
    }, (bytes) => {
      if (this.state === 'open') this.handleRead(bytes);
    });
  }

  /** Ends the exchange because its time-out has expired. */
  expire(): void {
    this.end(this.controller === undefined ? 'refused' : 'overdue');
  }

  /** Cancels the exchange. */
  cancel(): void {
    this.end(this.controller === undefined ? 'refused' : 'cancelled');
  }

  /**
   * Reports the end of the exchange. Called once.
   * @param ending - How the exchange ended.
   */
  protected abstract reportEnding(ending: ExchangeEnding): void;

  /** Whether the exchange has not ended. */
  protected isOpen(): boolean {
    return this.state === 'open';
  }

  /** Handles a response that exceeds the buffer. By default, the exchange ends as `truncated`. */
  protected handleOverflow(): void {
    this.end('truncated');
  }

  /**
   * Handles that bytes were read and parsed, of the response and all that surrounds it. By default, nothing happens.
   * @param _bytes - Number of bytes that were read for this exchange so far.
   */

  protected handleRead(_bytes: number): void {
    // Nothing to do.
  }

  /**
   * Passes a chunk of the body to the reader.
   * @param chunk - Chunk of the body.
   */
  protected handleBodyChunk(chunk: Buffer): void {
    if (this.options.reader.readBodyChunk(chunk) === 'overflowed') this.handleOverflow();
  }

  /**
   * Ends the exchange and returns its connection to the pool. Has no effect after the first call.
   * @param ending - How the exchange ended.
   */
  protected end(ending: ExchangeEnding): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.timeoutSubscription?.cancel();
    const reusable = ending === 'complete' && this.options.reader.isConnectionReusable();
    if (this.connection !== undefined) this.options.pool.release(this.connection, reusable ? 'reusable' : 'unusable');
    this.reportEnding(ending);
  }

  private handleRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // A process that was suspended may learn that the connection is open before its timers fire.
    if (this.controller === undefined && this.options.timers.getNowMs() > this.expiresAtMs) this.end('refused');
    // The exchange has already been reported as not sent, so the request must not be written.
    if (this.state === 'ended') {
      controller.abort(new undici.errors.RequestAbortedError());
      return;
    }
    if (this.controller === undefined) {
      this.controller = controller;
      return;
    }
    // undici retries a request after a connection error. The retry is aborted, since the instance may already have run the request.
    controller.abort(new undici.errors.RequestAbortedError());
    this.end('reset');
  }

  private handleResponseStart(controller: undici.Dispatcher.DispatchController, status: number): void {
    if (this.state === 'ended') return;
    // Bytes with another status are no answer, whatever their fields state. The HTTP library would read on after a status below 100 until
    // an assertion of its own fails.
    if (status < MIN_STATUS || status > MAX_STATUS) {
      this.end('truncated');
      return;
    }
    if (status < 200) {
      this.interimResponses += 1;
      if (this.interimResponses > MAX_INTERIM_RESPONSES) this.end('truncated');
      return;
    }
    this.options.reader.readHeaders(status, (controller.rawHeaders ?? []) as Buffer[]);
    if (!this.options.reader.isUsable()) this.end('truncated');
  }

  private isResponseComplete(): boolean {
    return this.connection?.hasFailed() !== true && this.options.reader.isComplete();
  }

  private computeErrorEnding(): ExchangeEnding {
    if (this.controller === undefined) return 'refused';
    return this.options.reader.hasHeaders() ? 'truncated' : 'reset';
  }
}
