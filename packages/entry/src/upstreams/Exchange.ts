import type * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as connectionMessage from './ConnectionMessage.js';
import type * as connectionPool from './ConnectionPool.js';
import type * as responseReader from './ResponseReader.js';
import type * as upstreamConnection from './UpstreamConnection.js';

/**
 * How an exchange ended.
 * - `complete`: the complete answer was received and passed all checks.
 * - `refused`: no byte of the request was written.
 * - `reset`: the connection closed before the headers of an answer were received.
 * - `truncated`: the connection closed within the answer, or the answer failed a check or exceeded the buffer.
 * - `overdue`: no complete answer was received before the time-out.
 * - `cancelled`: this VM cancelled the exchange after it had begun to write the request.
 */
export type ExchangeEnding = 'complete' | 'refused' | 'reset' | 'truncated' | 'overdue' | 'cancelled';

/** Options of an `Exchange`. */
export interface ExchangeOptions {
  /** Identifies the exchange in the message `exchange-overdue`. */
  readonly exchangeId: string;
  /** Connections to the instance. */
  readonly pool: connectionPool.ConnectionPool;
  /** Greatest number of connections to the instance. */
  readonly connectionLimit: number;
  readonly request: undici.Dispatcher.DispatchOptions;
  /** Parses and checks the answer. */
  readonly reader: responseReader.ResponseReader;
  readonly timeoutMs: number;
  readonly timers: core.time.TimerService;
  /** Task that owns the exchange. It receives the message when the time-out expires, and calls `expire`. */
  readonly owner: core.tasks.Mailbox<connectionMessage.ExchangeOverdue>;
}

/** One request to an instance and its answer. Each exchange ends exactly once. */
export abstract class Exchange {
  protected controller: undici.Dispatcher.DispatchController | undefined;

  private connection: upstreamConnection.UpstreamConnection | undefined;

  private timeoutSubscription: core.time.TimerSubscription | undefined;

  private state: 'open' | 'ended' = 'open';

  /** @param options - Request, connection pool, reader of the answer and time-out. */
  constructor(private readonly options: ExchangeOptions) {}

  /** Sends the request, or ends the exchange as `refused` if no connection is available. */
  send(): void {
    const { options } = this;
    this.connection = options.pool.acquire(options.connectionLimit);
    if (this.connection === undefined) {
      this.end('refused');
      return;
    }
    this.timeoutSubscription = options.timers.subscribe({
      mailbox: options.owner, message: { type: 'exchange-overdue', exchangeId: options.exchangeId }, delayMs: Math.max(0, options.timeoutMs),
    });
    this.connection.dispatch(options.request, {
      onRequestStart: (controller) => this.handleRequestStart(controller),
      onResponseStart: (controller, status) => {
        if (status >= 200) this.options.reader.readHeaders(status, (controller.rawHeaders ?? []) as Buffer[]);
      },
      onResponseData: (_, chunk) => {
        if (this.state === 'open') this.handleBodyChunk(chunk);
      },
      onResponseEnd: () => this.end(this.isResponseComplete() ? 'complete' : 'truncated'),
      onResponseError: () => this.end(this.computeErrorEnding()),
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

  /** Handles an answer that exceeds the buffer. By default, the exchange ends as `truncated`. */
  protected handleOverflow(): void {
    this.end('truncated');
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
    // The exchange ended as `refused` before the connection was open. It was reported as not sent, so no byte of it may be written now.
    if (this.state === 'ended') {
      controller.abort(new undici.errors.RequestAbortedError());
      return;
    }
    if (this.controller === undefined) {
      this.controller = controller;
      return;
    }
    // undici starts the request a second time after a connection error. The instance could then run an operation twice.
    controller.abort(new undici.errors.RequestAbortedError());
    this.end('reset');
  }

  private isResponseComplete(): boolean {
    return this.connection?.hasFailed() !== true && this.options.reader.isComplete();
  }

  private computeErrorEnding(): ExchangeEnding {
    if (this.controller === undefined) return 'refused';
    return this.options.reader.hasHeaders() ? 'truncated' : 'reset';
  }
}
