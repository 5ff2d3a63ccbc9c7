import type * as core from '@tamarackferry/core';

import type * as gatewayOutput from './GatewayOutput.js';

// A tenant is within its quota again when none of its requests was refused for this time.
const END_AFTER_MS = 5_000;

interface ExceededQuota {
  readonly sinceMs: number;
  refusedAtMs: number;
  refused: number;
}

/** Logs when a tenant begins to exceed its quota at this VM, and when it no longer does. */
export class QuotaLog {
  private readonly exceeded = new Map<string, ExceededQuota>();

  /** @param outbox - Receives the log lines. */
  constructor(private readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>) {}

  /** Counts the tenants that exceed their quotas. */
  countExceeded(): number {
    return this.exceeded.size;
  }

  /**
   * Records a request that was refused.
   * @param tenant - Name of the tenant.
   * @param shortage - Why it was refused.
   * @param nowMs - Current time.
   */
  recordRefusal(tenant: string, shortage: string, nowMs: number): void {
    const entry = this.exceeded.get(tenant);
    if (entry !== undefined) {
      entry.refusedAtMs = nowMs;
      entry.refused += 1;
      return;
    }
    this.exceeded.set(tenant, { sinceMs: nowMs, refusedAtMs: nowMs, refused: 1 });
    this.outbox.post({ type: 'log', event: 'quota-exceeded', fields: { tenant, reason: shortage } });
  }

  /**
   * Logs the tenants that are within their quotas again.
   * @param nowMs - Current time.
   */
  expire(nowMs: number): void {
    this.exceeded.forEach(({ sinceMs, refusedAtMs, refused }, tenant) => {
      if (nowMs - refusedAtMs < END_AFTER_MS) return;
      this.exceeded.delete(tenant);
      this.outbox.post({ type: 'log', event: 'quota-kept', fields: { tenant, refused, elapsedMs: Math.round(refusedAtMs - sinceMs) } });
    });
  }
}
