import type * as core from '@tamarackferry/core';

import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import type * as linkTable from './LinkTable.js';

// A transport gives up on a peer that does not acknowledge a message within this time.
const UNREACHED_AFTER_MS = 1_000;

/** Options of a `PeerNetwork`. */
export interface PeerNetworkOptions {
  readonly queue: worlds.EventQueue;
  readonly links: linkTable.LinkTable;
  readonly getMachine: (name: string) => vms.FakeMachine | undefined;
}

/** Carries the messages between fake VMs: they may be late, lost, duplicated or overtaken. */
export class PeerNetwork {
  /** @param options - Surroundings. */
  constructor(private readonly options: PeerNetworkOptions) {}

  /**
   * Carries one message.
   * @param from - Sending machine.
   * @param output - Message and its receiver.
   */
  send(from: vms.FakeMachine, output: Extract<core.vms.VmOutput, { type: 'send-peer' }>): void {
    const { queue, links, getMachine } = this.options;
    const to = getMachine(output.to.name);
    if (to === undefined) {
      this.reportUnreached(from, output.to.name, UNREACHED_AFTER_MS);
      return;
    }
    const delays = links.drawMessageDelaysMs(from.endpoint, to.endpoint);
    const back = links.getState(to.endpoint, from.endpoint);
    if (to.getState() === 'dead') {
      const refusedAfterMs = delays[0] === undefined || back.state === 'cut' ? UNREACHED_AFTER_MS : delays[0] * 2;
      this.reportUnreached(from, output.to.name, refusedAfterMs);
      return;
    }
    delays.forEach((delayMs) => queue.schedule(delayMs, () => to.deliver({ type: 'peer-envelope', envelope: output.envelope })));
    // Without an acknowledgement the sender cannot tell a lost message from a delivered one.
    if (delays.length === 0 || back.state === 'cut') this.reportUnreached(from, output.to.name, UNREACHED_AFTER_MS);
  }

  private reportUnreached(from: vms.FakeMachine, name: string, afterMs: number): void {
    const { run } = from;
    this.options.queue.schedule(afterMs, () => {
      if (from.run === run) from.deliver({ type: 'peer-unreached', to: name });
    });
  }
}
