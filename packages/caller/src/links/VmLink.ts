import type * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as vms from '../vms/index.js';
import * as vmExchange from './VmExchange.js';

const CONNECT_TIMEOUT_MS = 1_000;
// Shorter than the idle time-out of entry VMs, so that a VM does not close a connection while the client sends a request on it.
const IDLE_TIMEOUT_MS = 20_000;

/** Sends requests to entry VMs and owns the connections to them. */
export class VmLink {
  private readonly agent = new undici.Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    // Each `VmExchange` has its own time-out, so the time-outs of undici are disabled.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /** @param timers - Timer service for the time-outs of requests. */
  constructor(private readonly timers: core.time.TimerService) {}

  /**
   * Sends a request to one VM.
   * @param to - VM to send to.
   * @param request - Request to send.
   */
  send(to: vms.VmAddress, request: vmExchange.VmRequest): Promise<vmExchange.VmRequestResult> {
    return new Promise((resolve) => {
      new vmExchange.VmExchange({
        to, request, timers: this.timers, onEnd: resolve,
      }).send(this.agent);
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
