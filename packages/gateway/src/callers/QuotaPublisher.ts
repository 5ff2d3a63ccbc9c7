import type * as core from '@tamarackferry/core';

import type * as gatewayOutput from './GatewayOutput.js';
import type * as quotaUsage from './QuotaUsage.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';
import type * as tenantQuotas from './TenantQuotas.js';

// Notices are sent at this interval, and at once when a tenant begins to send requests through this VM, but not more often than the second.
const NOTICE_INTERVAL_MS = 250;
const MIN_INTERVAL_MS = 50;

/** Options of a `QuotaPublisher`. */
export interface QuotaPublisherOptions {
  readonly timers: core.time.TimerService;
  /** Task that owns the requests; it calls `handleDue` on `quota-due`. */
  readonly mailbox: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  readonly quotas: tenantQuotas.TenantQuotas;
  /** Counts the tenants whose return to their quotas is still to be logged on `quota-due`. */
  readonly countExceeded: () => number;
}

/** Tells the other VMs what this VM has sent for the tenants with a quota, while it may serve callers. */
export class QuotaPublisher {
  private timer: core.time.TimerSubscription | undefined;

  private publishedAtMs = -Infinity;

  /** @param options - Dependencies. */
  constructor(private readonly options: QuotaPublisherOptions) {}

  /** Publishes the usage because the timer has fired. */
  handleDue(): void {
    this.timer = undefined;
    this.publish();
  }

  /** Begins to publish, unless there is nothing to tell. */
  start(): void {
    if (this.timer === undefined) this.publish();
  }

  /** Publishes the usage as soon as permitted, since the other VMs should know of it. */
  publishSoon(): void {
    const waitMs = this.publishedAtMs + MIN_INTERVAL_MS - this.options.timers.getNowMs();
    if (waitMs <= 0) this.publish();
    else this.schedule(waitMs);
  }

  /**
   * Answers a VM that has just begun to serve callers.
   * @param notice - Notice of the VM.
   */
  answer(notice: quotaUsage.QuotaNotice): void {
    const usage = this.options.quotas.listUsage(this.options.timers.getNowMs());
    if (usage !== undefined) {
      this.options.outbox.post({
        type: 'quota-usage', usage, hosts: [notice.host], audience: 'newcomer',
      });
    }
  }

  private publish(): void {
    const { quotas, outbox } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const usage = quotas.listUsage(nowMs);
    if (usage === undefined) {
      if (this.options.countExceeded() > 0) this.schedule(NOTICE_INTERVAL_MS);
      return;
    }
    this.publishedAtMs = nowMs;
    outbox.post({
      type: 'quota-usage', usage, hosts: quotas.listHosts(nowMs), audience: 'all',
    });
    this.schedule(NOTICE_INTERVAL_MS);
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.options.timers.subscribe({ mailbox: this.options.mailbox, message: { type: 'quota-due' as const }, delayMs });
  }
}
