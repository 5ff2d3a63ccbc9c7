import * as core from '@tamarackferry/core';

import type * as peerTransport from './PeerTransport.js';

const DELIVERY_TIMEOUT_MS = 2_000;
const MAX_QUEUED = 256;

/** Message to the `PeerConnections`. */
export type PeerConnectionMessage =
  | Extract<core.vms.VmOutput, { type: 'send-peer' }>
  | { readonly type: 'delivery-overdue'; readonly to: string }
  | { readonly type: 'delivery-ended'; readonly to: string; readonly result: 'reached' | 'unreached' };

/** Options of `PeerConnections`. */
export interface PeerConnectionsOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly transport: peerTransport.PeerTransport;
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

interface PeerQueue {
  /** Address of the peer as of its last message. */
  identity: core.vms.VmIdentity;
  waiting: core.vms.PeerEnvelope[];
  delivery: { readonly abort: AbortController; readonly overdue: core.time.TimerSubscription } | undefined;
}

/** Owns the connections to other VMs. Each peer has a bounded queue and one delivery at a time. */
export class PeerConnections extends core.tasks.Task<PeerConnectionMessage> {
  private readonly queues = new Map<string, PeerQueue>();

  /** @param options - Transport and the VM that hears of failures. */
  constructor(private readonly options: PeerConnectionsOptions) {
    super(options.scheduler);
  }

  /** Aborts all deliveries and closes all connections. */
  async close(): Promise<void> {
    this.queues.forEach((queue) => queue.delivery?.abort.abort());
    await this.options.transport.close();
  }

  /** @internal */
  override handle(message: PeerConnectionMessage): void {
    switch (message.type) {
      case 'send-peer':
        this.enqueueEnvelope(message.to, message.envelope);
        break;
      case 'delivery-overdue':
        this.queues.get(message.to)?.delivery?.abort.abort();
        break;
      case 'delivery-ended':
        this.endDelivery(message.to, message.result);
        break;
      // no default
    }
  }

  private enqueueEnvelope(to: core.vms.VmIdentity, envelope: core.vms.PeerEnvelope): void {
    const queue = this.queues.get(to.name) ?? { identity: to, waiting: [], delivery: undefined };
    this.queues.set(to.name, queue);
    queue.identity = to;
    if (queue.waiting.length >= MAX_QUEUED) {
      this.options.vm.post({ type: 'peer-unreached', to: to.name });
      return;
    }
    queue.waiting.push(envelope);
    if (queue.delivery === undefined) this.beginDelivery(to.name, queue);
  }

  private beginDelivery(to: string, queue: PeerQueue): void {
    const envelopes = queue.waiting.splice(0);
    const abort = new AbortController();
    const overdue = this.options.timers.subscribe({
      mailbox: this, message: { type: 'delivery-overdue', to }, delayMs: DELIVERY_TIMEOUT_MS,
    });
    // eslint-disable-next-line no-param-reassign -- the queue belongs to this task
    queue.delivery = { abort, overdue };
    void this.options.transport.deliver(queue.identity, envelopes, abort.signal)
      .then((result) => this.post({ type: 'delivery-ended', to, result: result.isOk() ? 'reached' : 'unreached' }));
  }

  private endDelivery(to: string, result: 'reached' | 'unreached'): void {
    const queue = this.queues.get(to);
    if (queue === undefined) return;
    queue.delivery?.overdue.cancel();
    queue.delivery = undefined;
    if (result === 'unreached') this.options.vm.post({ type: 'peer-unreached', to });
    if (queue.waiting.length > 0) this.beginDelivery(to, queue);
    else this.queues.delete(to);
  }
}
