import type * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as connectionMessage from './ConnectionMessage.js';
import type * as connectionPool from './ConnectionPool.js';
import type * as replyReader from './ReplyReader.js';
import type * as upstreamConnection from './UpstreamConnection.js';

/**
 * How an exchange ended.
 * - `complete`: whole answer.
 * - `refused`: no byte of the request was written.
 * - `reset`: the connection closed before the head of an answer.
 * - `truncated`: the answer broke off or failed a check.
 * - `overdue`: no whole answer in time.
 * - `cancelled`: withdrawn by this side after bytes were written.
 */
export type ExchangeEnding = 'complete' | 'refused' | 'reset' | 'truncated' | 'overdue' | 'cancelled';

/** Options of an `Exchange`. */
export interface ExchangeOptions {
  readonly exchangeId: string;
  readonly pool: connectionPool.ConnectionPool;
  /** Greatest number of connections to the instance. */
  readonly connectionLimit: number;
  readonly request: undici.Dispatcher.DispatchOptions;
  readonly reader: replyReader.ReplyReader;
  readonly timeoutMs: number;
  readonly timers: core.time.TimerService;
  /** Task that owns the exchange and gets its time-out. */
  readonly owner: core.tasks.Mailbox<connectionMessage.ExchangeOverdue>;
}

/** One request to an instance and its answer. Ends exactly once. */
export abstract class Exchange {
  protected controller: undici.Dispatcher.DispatchController | undefined;

  private connection: upstreamConnection.UpstreamConnection | undefined;

  private timeoutSubscription: core.time.TimerSubscription | undefined;

  private state: 'open' | 'ended' = 'open';

  /** @param options - Request and connections of the exchange. */
  constructor(private readonly options: ExchangeOptions) {}

  /** Sends the request. */
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
        if (status >= 200) this.options.reader.readHead(status, (controller.rawHeaders ?? []) as Buffer[]);
      },
      onResponseData: (_, chunk) => {
        if (this.state === 'open') this.handleData(chunk);
      },
      onResponseEnd: () => this.end(this.isResponseComplete() ? 'complete' : 'truncated'),
      onResponseError: () => this.end(this.computeErrorEnding()),
    });
  }

  /** Ends the exchange because its time is over. */
  expire(): void {
    this.end(this.controller === undefined ? 'refused' : 'overdue');
  }

  /** Withdraws the exchange. */
  cancel(): void {
    this.end(this.controller === undefined ? 'refused' : 'cancelled');
  }

  /**
   * Reports the end of the exchange. Called once.
   * @param ending - How the exchange ended.
   */
  protected abstract complete(ending: ExchangeEnding): void;

  /** Decides about an answer that exceeds the buffer. */
  protected handleOverflow(): void {
    this.end('truncated');
  }

  /**
   * Takes a part of the body.
   * @param chunk - Part of the body.
   */
  protected handleData(chunk: Buffer): void {
    if (this.options.reader.readData(chunk) === 'overflowed') this.handleOverflow();
  }

  /**
   * Ends the exchange and gives its connection back. Without effect after the first call.
   * @param ending - How the exchange ended.
   */
  protected end(ending: ExchangeEnding): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.timeoutSubscription?.cancel();
    const reusable = ending === 'complete' && this.options.reader.isConnectionReusable();
    if (this.connection !== undefined) this.options.pool.release(this.connection, reusable ? 'reusable' : 'unusable');
    this.complete(ending);
  }

  private handleRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // An exchange that ended as refused was reported as not sent, so nothing of it may be written now.
    if (this.state === 'ended') {
      controller.abort(new undici.errors.RequestAbortedError());
      return;
    }
    if (this.controller === undefined) {
      this.controller = controller;
      return;
    }
    // A repetition by undici after a connection error could run an operation twice.
    controller.abort(new undici.errors.RequestAbortedError());
    this.end('reset');
  }

  private isResponseComplete(): boolean {
    return this.connection?.hasFailed() !== true && this.options.reader.isComplete();
  }

  private computeErrorEnding(): ExchangeEnding {
    if (this.controller === undefined) return 'refused';
    return this.options.reader.hasHead() ? 'truncated' : 'reset';
  }
}
