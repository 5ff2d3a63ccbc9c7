import * as core from '@tamarackferry/core';

import type * as peerTransport from './PeerTransport.js';

const DELIVERY_TIMEOUT_MS = 2_000;
const MAX_QUEUED_ENVELOPES = 256;

/** Message to the `PeerConnections` task. */
export type PeerConnectionMessage =
  | Extract<core.vms.VmOutput, { type: 'send-peer' }>
  | { readonly type: 'delivery-timed-out'; readonly to: string }
  | { readonly type: 'delivery-ended'; readonly to: string; readonly result: 'reached' | 'unreached' };

/** Options of `PeerConnections`. */
export interface PeerConnectionsOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly transport: peerTransport.PeerTransport;
  /** Mailbox of the VM task, which receives `peer-unreached` if a delivery fails or the queue of a peer is full. */
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

interface PeerQueue {
  /** Identity and address of the peer, as given with the latest envelope to it. */
  identity: core.vms.VmIdentity;
  queuedEnvelopes: core.vms.PeerEnvelope[];
  activeDelivery: { readonly abortController: AbortController; readonly timeout: core.time.TimerSubscription } | undefined;
}

/**
 * Owns the connections to other VMs. Each peer has a bounded queue of envelopes and at most one delivery at a time, which sends all
 * envelopes that were queued when it started. An envelope holds one message. Envelopes of a failed delivery are not sent again.
 */
export class PeerConnections extends core.tasks.Task<PeerConnectionMessage> {
  private readonly queues = new Map<string, PeerQueue>();

  /** @param options - Scheduler, timers, transport, and the mailbox that is notified of failed deliveries. */
  constructor(private readonly options: PeerConnectionsOptions) {
    super(options.scheduler);
  }

  /** Aborts the deliveries in progress and closes all connections. */
  async close(): Promise<void> {
    this.queues.forEach((queue) => queue.activeDelivery?.abortController.abort());
    await this.options.transport.close();
  }

  /** @internal */
  override handle(message: PeerConnectionMessage): void {
    switch (message.type) {
      case 'send-peer':
        this.enqueueEnvelope(message.to, message.envelope);
        break;
      case 'delivery-timed-out':
        this.queues.get(message.to)?.activeDelivery?.abortController.abort();
        break;
      case 'delivery-ended':
        this.completeDelivery(message.to, message.result);
        break;
      // no default
    }
  }

  private enqueueEnvelope(to: core.vms.VmIdentity, envelope: core.vms.PeerEnvelope): void {
    const queue = this.queues.get(to.name) ?? { identity: to, queuedEnvelopes: [], activeDelivery: undefined };
    this.queues.set(to.name, queue);
    queue.identity = to;
    if (queue.queuedEnvelopes.length >= MAX_QUEUED_ENVELOPES) {
      this.options.vm.post({ type: 'peer-unreached', to: to.name });
      return;
    }
    queue.queuedEnvelopes.push(envelope);
    if (queue.activeDelivery === undefined) this.startDelivery(to.name, queue);
  }

  private startDelivery(to: string, queue: PeerQueue): void {
    const envelopes = queue.queuedEnvelopes.splice(0);
    const abortController = new AbortController();
    const timeout = this.options.timers.subscribe({
      mailbox: this, message: { type: 'delivery-timed-out', to }, delayMs: DELIVERY_TIMEOUT_MS,
    });
    // eslint-disable-next-line no-param-reassign -- this task owns the queue
    queue.activeDelivery = { abortController, timeout };
    void this.options.transport.deliver(queue.identity, envelopes, abortController.signal)
      .then((result) => this.post({ type: 'delivery-ended', to, result: result.isOk() ? 'reached' : 'unreached' }));
  }

  private completeDelivery(to: string, result: 'reached' | 'unreached'): void {
    const queue = this.queues.get(to);
    if (queue === undefined) return;
    queue.activeDelivery?.timeout.cancel();
    queue.activeDelivery = undefined;
    if (result === 'unreached') this.options.vm.post({ type: 'peer-unreached', to });
    if (queue.queuedEnvelopes.length > 0) this.startDelivery(to, queue);
    else this.queues.delete(to);
  }
}
