import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

import type * as demoUpstream from './DemoUpstream.js';

const TIMEOUT_MS = 2_000;

/** Calls upstream instances without the fleet, to compare latencies. */
export class DirectCaller {
  private readonly agent = new undici.Agent();

  private readonly latenciesMs = new Map<string, number>();

  private next = 0;

  /**
   * @param upstreams - Instances to call.
   * @param timers - Source of time.
   */
  constructor(private readonly upstreams: readonly demoUpstream.DemoUpstream[], private readonly timers: core.time.TimerService) {}

  /**
   * Sends a read to the instances of a service in turn and records its latency.
   * @param service - Name of the service.
   * @param path - Path of the read.
   */
  async send(service: string, path: string): Promise<void> {
    const instances = this.upstreams.filter((upstream) => upstream.options.service === service);
    const instance = instances[this.next % instances.length];
    this.next += 1;
    if (instance === undefined) return;
    const startMs = this.timers.getNowMs();
    const read = await neverthrow.ResultAsync.fromPromise(this.read(`http://127.0.0.1:${instance.port}${path}`), () => undefined);
    if (read.isOk() && read.value === 200) this.latenciesMs.set(path, this.timers.getNowMs() - startMs);
  }

  /** Gets the latencies of the answered reads by their paths. */
  getLatenciesMs(): ReadonlyMap<string, number> {
    return this.latenciesMs;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async read(address: string): Promise<number> {
    const response = await undici.request(address, { dispatcher: this.agent, signal: AbortSignal.timeout(TIMEOUT_MS) });
    await response.body.dump();
    return response.statusCode;
  }
}
