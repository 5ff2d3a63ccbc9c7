import type * as core from '@tamarackferry/core';

import * as evidenceGossip from '../upstreams/EvidenceGossip.js';
import type * as gatewayOutput from './GatewayOutput.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';
import type * as serviceTable from './ServiceTable.js';

// While requests are in flight, evidence about instances is sent to the other VMs at this interval: a fraction of the time for which a
// request occupies a slot.
const GOSSIP_INTERVAL_MS = 75;

/** Options of an `EvidencePublisher`. */
export interface EvidencePublisherOptions {
  readonly timers: core.time.TimerService;
  /** Task that owns the requests; it calls `handleDue` on `gossip-due`. */
  readonly mailbox: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  readonly services: serviceTable.ServiceTable;
  /** Counts the attempts in flight. */
  readonly countOpen: () => number;
}

/** Publishes what this VM finds out about instances to the other VMs, while there is anything to tell. */
export class EvidencePublisher {
  private readonly gossip = new evidenceGossip.EvidenceGossip();

  private timer: core.time.TimerSubscription | undefined;

  /** @param options - Dependencies. */
  constructor(private readonly options: EvidencePublisherOptions) {}

  /** Publishes the evidence because the timer has fired. */
  handleDue(): void {
    this.timer = undefined;
    this.publish();
  }

  /** Publishes the evidence that has changed, and schedules the next time. */
  publish(): void {
    const { services, outbox, countOpen } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const selected = this.gossip.selectEvidence(services.listEvidence(nowMs), nowMs);
    services.releaseUnused((instance) => this.gossip.hasReported(instance));
    if (selected.length > 0) outbox.post({ type: 'evidence-found', rows: selected, outcomes: services.listOutcomes(nowMs) });
    if (countOpen() > 0 || services.countUsed() > 0) this.schedule();
  }

  /** Schedules the next time at which evidence is published, unless there is one. */
  schedule(): void {
    this.timer ??= this.options.timers.subscribe({
      mailbox: this.options.mailbox, message: { type: 'gossip-due' as const }, delayMs: GOSSIP_INTERVAL_MS,
    });
  }
}
