import * as stream from 'node:stream';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';
import type * as undici from 'undici';

import type * as byteBudget from '../links/ByteBudget.js';
import * as routedExchange from './RoutedExchange.js';
import * as routedResponseReader from './RoutedResponseReader.js';
import type * as upstreamDialect from './UpstreamDialect.js';

// TCP sends a lost SYN again only after one second; connecting to another instance is faster.
const CONNECT_TIMEOUT_MS = 200;

// Idle time-out for instances that do not state one in a Keep-Alive header.
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

// Upper bound on the idle time-outs that instances state.
const MAX_IDLE_TIMEOUT_MS = 60_000;

// From this number of pools on, those without open connections are removed.
const MAX_POOLS = 4_096;

type Attempt = Extract<gateway.callers.GatewayOutput, { type: 'send-attempt' }>;

/** Message to the `RoutedConnections`. */
export type RoutedConnectionsMessage =
  | Extract<gateway.callers.GatewayOutput, { type: 'send-attempt' | 'cancel-attempt' }>
  | entry.upstreams.ExchangeOverdue;

/** Options of `RoutedConnections`. */
export interface RoutedConnectionsOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly dialect: upstreamDialect.UpstreamDialect;
  /** Task that receives the results of the attempts. */
  readonly requestTask: core.tasks.Mailbox<gateway.callers.RoutedRequestMessage>;
  /** Limit on the answers that are received or wait to be written, of all requests together. */
  readonly answerBudget: byteBudget.ByteBudget;
}

/** Owns the connections to instances and sends attempts over them. A connection carries one attempt at a time. */
export class RoutedConnections extends core.tasks.Task<RoutedConnectionsMessage> {
  private readonly pools = new Map<string, entry.upstreams.ConnectionPool>();

  private readonly exchanges = new Map<string, routedExchange.RoutedExchange>();

  /** @param options - Options of the connections. */
  constructor(private readonly options: RoutedConnectionsOptions) {
    super(options.scheduler);
  }

  /** Counts the open connections. */
  countConnections(): number {
    return [...this.pools.values()].reduce((sum, pool) => sum + pool.countConnections(), 0);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.close()));
  }

  /** @internal */
  override handle(message: RoutedConnectionsMessage): void {
    switch (message.type) {
      case 'send-attempt':
        this.sendAttempt(message);
        break;
      case 'cancel-attempt':
        this.exchanges.get(message.attemptId)?.cancel();
        break;
      case 'exchange-overdue':
        this.exchanges.get(message.exchangeId)?.expire();
        break;
      // no default
    }
  }

  private sendAttempt(attempt: Attempt): void {
    const { arrival: request, attemptId } = attempt;
    const { timers, dialect, requestTask: requests } = this.options;
    const exchange = new routedExchange.RoutedExchange({
      exchangeId: attemptId,
      pool: this.getPool(attempt.instance),
      connectionLimit: attempt.connectionLimit,
      timeoutMs: Math.min(CONNECT_TIMEOUT_MS, attempt.deadlineMs),
      timers,
      owner: this,
      budget: this.options.answerBudget,
      request: {
        method: request.method as undici.Dispatcher.HttpMethod,
        path: request.path,
        ...RoutedConnections.buildBody(request.body, dialect.buildHeaders(attempt)),
      },
      reader: new routedResponseReader.RoutedResponseReader({
        method: request.method, callerRequestId: request.callerRequestId, dialect,
      }),
      onEnd: (ending) => {
        this.exchanges.delete(attemptId);
        requests.post({ type: 'attempt-ended', attemptId, ending });
      },
    });
    this.exchanges.set(attemptId, exchange);
    exchange.send();
  }

  private getPool(instance: gateway.upstreams.InstanceRecord): entry.upstreams.ConnectionPool {
    // The key contains the start time, so that a new process at the same address does not get connections of its predecessor.
    const key = `${instance.id}@${instance.host}:${instance.port}/${instance.startedAtMs ?? 0}`;
    const existing = this.pools.get(key);
    if (existing !== undefined) return existing;
    if (this.pools.size >= MAX_POOLS) this.prunePools();
    const pool = new entry.upstreams.ConnectionPool({
      origin: `http://${instance.host}:${instance.port}`,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
      maxIdleTimeoutMs: MAX_IDLE_TIMEOUT_MS,
    });
    this.pools.set(key, pool);
    return pool;
  }

  // The client writes the parts of a long body one by one. It cannot know their length, so the header states it.
  private static buildBody(body: gateway.callers.RequestArrival['body'], headers: string[]): Pick<undici.Dispatcher.DispatchOptions, 'headers' | 'body'> {
    if (body instanceof Uint8Array) return { headers, body: body.byteLength > 0 ? body : null };
    const length = body.reduce((sum, part) => sum + part.byteLength, 0);
    const readable = stream.Readable.from(body);
    // The client reports the end of the attempt itself; an error of the stream says nothing more.
    readable.on('error', () => undefined);
    return { headers: [...headers, 'Content-Length', String(length)], body: readable };
  }

  private prunePools(): void {
    [...this.pools].filter(([, pool]) => pool.countConnections() === 0).forEach(([key]) => this.pools.delete(key));
  }
}
