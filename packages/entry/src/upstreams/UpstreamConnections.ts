import * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as connectionMessage from './ConnectionMessage.js';

/** Options of `UpstreamConnections`. */
export interface UpstreamConnectionsOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

/** Owns the connections to upstream instances and sends attempts over them. */
export class UpstreamConnections extends core.tasks.Task<connectionMessage.ConnectionMessage> {
  private readonly pools = new Map<string, undici.Pool>();

  private readonly aborts = new Map<string, AbortController>();

  /** @param options - Scheduler and the VM that gets the results. */
  constructor(private readonly options: UpstreamConnectionsOptions) {
    super(options.scheduler);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  /** @internal */
  override handle(message: connectionMessage.ConnectionMessage): void {
    switch (message.type) {
      case 'send-attempt':
        this.sendAttempt(message).then(
          (result) => this.endAttempt(message.attemptId, result),
          () => this.endAttempt(message.attemptId, { type: 'reset' }),
        );
        break;
      case 'cancel-attempt':
        this.aborts.get(message.attemptId)?.abort();
        break;
      default:
        break;
    }
  }

  private endAttempt(attemptId: string, result: core.upstreams.AttemptResult): void {
    this.aborts.delete(attemptId);
    this.options.vm.post({ type: 'attempt-ended', attemptId, result });
  }

  private async sendAttempt(attempt: Extract<connectionMessage.ConnectionMessage, { type: 'send-attempt' }>): Promise<core.upstreams.AttemptResult> {
    const abort = new AbortController();
    this.aborts.set(attempt.attemptId, abort);
    const { request } = attempt;
    const response = await this.getPool(attempt.instance).request({
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: {
        ...Object.fromEntries(request.headers),
        'tamarack-request-id': attempt.attemptId,
        'tamarack-deadline-ms': String(Math.floor(attempt.deadlineMs)),
      },
      body: request.body.length > 0 ? request.body : null,
      signal: abort.signal,
      headersTimeout: attempt.timeoutMs,
      bodyTimeout: attempt.timeoutMs,
    });
    const echoed = response.headers['tamarack-request-id'];
    const body = new Uint8Array(await response.body.arrayBuffer());
    return {
      type: 'answered',
      answer: {
        status: response.statusCode,
        headers: Object.entries(response.headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value ?? ''] as const),
        body,
      },
      echo: echoed === undefined ? 'absent' : UpstreamConnections.compareEcho(echoed, attempt.attemptId),
      notRun: undefined,
      drain: undefined,
      load: undefined,
    };
  }

  private static compareEcho(echoed: string | string[], attemptId: string): 'matched' | 'mismatched' {
    return echoed === attemptId ? 'matched' : 'mismatched';
  }

  private getPool(instance: core.upstreams.InstanceAddress): undici.Pool {
    const origin = `http://${instance.host}:${instance.port}`;
    const known = this.pools.get(origin);
    if (known !== undefined) return known;
    const pool = new undici.Pool(origin, { pipelining: 1 });
    this.pools.set(origin, pool);
    return pool;
  }
}
