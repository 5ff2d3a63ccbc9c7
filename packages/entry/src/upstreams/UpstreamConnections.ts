import * as core from '@tamarackferry/core';
import type * as undici from 'undici';

import type * as listenerMessage from '../callers/ListenerMessage.js';
import * as bufferedResponseReader from './BufferedResponseReader.js';
import * as attemptExchange from './AttemptExchange.js';
import * as cancelExchange from './CancelExchange.js';
import type * as connectionMessage from './ConnectionMessage.js';
import * as connectionPool from './ConnectionPool.js';
import type * as exchange from './Exchange.js';
import * as probeExchange from './ProbeExchange.js';

const CONNECT_TIMEOUT_MS = 2_000;
const CANCEL_TIMEOUT_MS = 1_000;
// Shorter than the 5 s after which Node.js servers close idle connections by default. If the server closed the connection while a request
// is sent, it would be unknown whether the request ran.
const IDLE_TIMEOUT_MS = 4_000;
// For responses to probes and cancellations.
const CONTROL_RESPONSE_BUFFER_BYTES = 64 * 1024;
// Effectively unlimited: the connection limit of the contract does not apply to probes.
const MAX_CONNECTIONS_FOR_PROBES = 100_000;
const DEFAULT_RESPONSE_BUFFER_BYTES = 1024 * 1024;

/** Options of `UpstreamConnections`. */
export interface UpstreamConnectionsOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  /** Mailbox of the VM task, which receives the results of attempts and probes. */
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
  /** Task that owns the callers' connections; receives streamed responses. */
  readonly listener: core.tasks.Mailbox<listenerMessage.ListenerMessage>;
  /** Size up to which a response is buffered until it is complete, in bytes; 1 MiB if not given. Larger responses are streamed. */
  readonly bufferBytes?: number;
}

type Attempt = Extract<connectionMessage.ConnectionMessage, { type: 'send-attempt' }>;
type Probe = Extract<connectionMessage.ConnectionMessage, { type: 'send-probe' }>;

/** Owns the connections to upstream instances and sends attempts and probes over them. */
export class UpstreamConnections extends core.tasks.Task<connectionMessage.ConnectionMessage> {
  // By origin of the instance.
  private readonly pools = new Map<string, connectionPool.ConnectionPool>();

  // By exchange id. The id of an attempt is also the id of its exchange.
  private readonly exchanges = new Map<string, exchange.Exchange>();

  private lastExchangeNumber = 0;

  /** @param options - Scheduler, timers and the tasks that receive the results. */
  constructor(private readonly options: UpstreamConnectionsOptions) {
    super(options.scheduler);
  }

  /** Closes all connections and aborts the requests in flight. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.close()));
  }

  /** @internal */
  override handle(message: connectionMessage.ConnectionMessage): void {
    switch (message.type) {
      case 'send-attempt':
        this.sendAttempt(message);
        break;
      case 'cancel-attempt':
        this.exchanges.get(message.attemptId)?.cancel();
        break;
      case 'stream-attempt':
        this.findAttemptExchange(message.attemptId)?.startStreaming();
        break;
      case 'stream-ready':
        this.findAttemptExchange(message.attemptId)?.resumeStreaming();
        break;
      case 'stream-closed':
        this.findAttemptExchange(message.attemptId)?.cancelStreaming();
        break;
      case 'send-probe':
        this.sendProbe(message);
        break;
      case 'exchange-overdue':
        this.exchanges.get(message.exchangeId)?.expire();
        break;
      // no default
    }
  }

  private findAttemptExchange(attemptId: string): attemptExchange.AttemptExchange | undefined {
    const current = this.exchanges.get(attemptId);
    return current instanceof attemptExchange.AttemptExchange ? current : undefined;
  }

  private sendAttempt(attempt: Attempt): void {
    const { request, contract, attemptId } = attempt;
    const newExchange = new attemptExchange.AttemptExchange({
      ...this.buildCommonOptions(attemptId, attempt.instance, contract.connectionsPerInstance),
      timeoutMs: attempt.timeoutMs,
      writeUntilMs: attempt.deadlineAtMs,
      request: UpstreamConnections.buildRequest(attempt),
      reader: new bufferedResponseReader.BufferedResponseReader({
        method: request.method, requestId: attemptId, contract, maxBufferedBytes: this.options.bufferBytes ?? DEFAULT_RESPONSE_BUFFER_BYTES,
      }),
      attempt,
      vm: this.options.vm,
      listener: this.options.listener,
      onEnd: (result) => {
        this.exchanges.delete(attemptId);
        if (result.type === 'cancelled') this.sendCancellation(attempt);
        else this.options.vm.post({ type: 'attempt-ended', attemptId, result });
      },
    });
    this.exchanges.set(attemptId, newExchange);
    newExchange.send();
  }

  private sendCancellation(attempt: Attempt): void {
    const { contract, attemptId } = attempt;
    const exchangeId = this.buildExchangeId('cancel');
    const newExchange = new cancelExchange.CancelExchange({
      // Replaces the connection of the cancelled attempt, which was closed, and may exceed the connection limit of the contract by one.
      ...this.buildCommonOptions(exchangeId, attempt.instance, contract.connectionsPerInstance + 1),
      timeoutMs: CANCEL_TIMEOUT_MS,
      request: { method: 'POST', path: '/cancel', headers: ['tamarack-request-id', attemptId] },
      reader: new bufferedResponseReader.BufferedResponseReader({
        method: 'POST',
        requestId: attemptId,
        contract: { ...contract, answerDigest: 'absent', requestIdEcho: 'absent' },
        maxBufferedBytes: CONTROL_RESPONSE_BUFFER_BYTES,
      }),
      onEnd: (confirmation) => {
        this.exchanges.delete(exchangeId);
        this.options.vm.post({ type: 'attempt-ended', attemptId, result: { type: 'cancelled', confirmation } });
      },
    });
    this.exchanges.set(exchangeId, newExchange);
    newExchange.send();
  }

  private sendProbe(probe: Probe): void {
    const { instance } = probe;
    const exchangeId = this.buildExchangeId('probe');
    const newExchange = new probeExchange.ProbeExchange({
      ...this.buildCommonOptions(exchangeId, instance, MAX_CONNECTIONS_FOR_PROBES),
      timeoutMs: probe.timeoutMs,
      request: { method: 'GET', path: '/health' },
      reader: new bufferedResponseReader.BufferedResponseReader({
        method: 'GET', requestId: exchangeId, contract: undefined, maxBufferedBytes: CONTROL_RESPONSE_BUFFER_BYTES,
      }),
      onEnd: (result) => {
        this.exchanges.delete(exchangeId);
        this.options.vm.post({
          type: 'probe-ended', service: instance.service, instance: instance.name, result,
        });
      },
    });
    this.exchanges.set(exchangeId, newExchange);
    newExchange.send();
  }

  private buildExchangeId(purpose: string): string {
    this.lastExchangeNumber += 1;
    return `${purpose}:${this.lastExchangeNumber}`;
  }

  private buildCommonOptions(
    exchangeId: string,
    instance: core.upstreams.InstanceAddress,
    connectionLimit: number,
  ): Pick<exchange.ExchangeOptions, 'exchangeId' | 'pool' | 'connectionLimit' | 'timers' | 'owner'> {
    return {
      exchangeId, pool: this.getPool(instance), connectionLimit, timers: this.options.timers, owner: this,
    };
  }

  private static buildRequest(attempt: Attempt): undici.Dispatcher.DispatchOptions {
    const { request, attemptId, deadlineMs } = attempt;
    const addedHeaders: (readonly [string, string])[] = [
      ['tamarack-request-id', attemptId],
      ['tamarack-deadline-ms', String(Math.max(0, Math.floor(deadlineMs)))],
    ];
    if (request.operationId !== undefined) addedHeaders.push(['tamarack-operation-id', request.operationId]);
    return {
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.headers, ...addedHeaders].flatMap(([name, value]) => [name, value]),
      body: request.body.length > 0 ? Buffer.from(request.body) : null,
    };
  }

  private getPool(instance: core.upstreams.InstanceAddress): connectionPool.ConnectionPool {
    const origin = `http://${instance.host.includes(':') ? `[${instance.host}]` : instance.host}:${instance.port}`;
    const existing = this.pools.get(origin);
    if (existing !== undefined) return existing;
    // The pools of replaced instances become empty when their connections close, and are then removed here.
    if (this.pools.size >= 1_024) this.removeEmptyPools();
    const pool = new connectionPool.ConnectionPool({ origin, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleTimeoutMs: IDLE_TIMEOUT_MS });
    this.pools.set(origin, pool);
    return pool;
  }

  private removeEmptyPools(): void {
    [...this.pools].filter(([, pool]) => pool.countConnections() === 0).forEach(([origin]) => this.pools.delete(origin));
  }
}
