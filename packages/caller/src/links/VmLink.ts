import type * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as vms from '../vms/index.js';
import * as vmExchange from './VmExchange.js';

const CONNECT_TIMEOUT_MS = 1_000;
// Below the idle time-out of entry VMs, so that a request does not meet the close of its connection.
const IDLE_TIMEOUT_MS = 20_000;

/** Owns the connections to entry VMs. */
export class VmLink {
  private readonly agent = new undici.Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    // Each exchange has its own time-out.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  /** @param timers - Source of time. */
  constructor(private readonly timers: core.time.TimerService) {}

  /**
   * Sends a request to one VM.
   * @param to - VM to send to.
   * @param request - Request to send.
   */
  send(to: vms.VmAddress, request: vmExchange.VmRequest): Promise<vmExchange.VmReply> {
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
