import type * as core from '@tamarackferry/core';

import type * as gatewayOutput from './GatewayOutput.js';
import type * as routedService from './RoutedService.js';

// Share of the recent requests without a successful answer above which the use of the instances is logged, and the smallest number of
// requests from which a share is computed.
const LOGGED_UNSERVED_SHARE = 0.1;
const MIN_REQUESTS = 10;

// At most one line for each service in this time.
const LOG_INTERVAL_MS = 1_000;

interface LoggedCondition {
  readonly condition: 'good' | 'poor';
  readonly atMs: number;
}

/** Logs which instances are used while a service is served poorly, so that unused capacity can be told from missing capacity. */
export class ServiceConditionLog {
  private readonly logged = new Map<string, LoggedCondition>();

  /** @param outbox - Receives the log lines. */
  constructor(private readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>) {}

  /**
   * Logs the condition of a service when it has changed, and once a second while it is poor.
   * @param service - Name of the service.
   * @param serviceEntry - State of the service.
   * @param evidenceAgeMs - Time since the latest evidence of another VM; undefined if there was none.
   * @param nowMs - Current time.
   */
  update(service: string, serviceEntry: routedService.RoutedService, evidenceAgeMs: number | undefined, nowMs: number): void {
    const { requests, unserved } = serviceEntry.outcomes.summarizeAll(nowMs);
    const condition = requests >= MIN_REQUESTS && unserved > requests * LOGGED_UNSERVED_SHARE ? 'poor' as const : 'good' as const;
    const last = this.logged.get(service);
    if (condition === 'good' && (last?.condition ?? 'good') === 'good') return;
    // A share close to the bound crosses it several times a second.
    if (last !== undefined && nowMs - last.atMs < LOG_INTERVAL_MS) return;
    this.logged.set(service, { condition, atMs: nowMs });
    const {
      ready, sound, used, required,
    } = serviceEntry.pool.summarizeUse(nowMs);
    this.outbox.post({
      type: 'log',
      event: 'service-condition',
      fields: {
        service, condition, requests, unserved, ready, sound, used, required, waiting: serviceEntry.queue.countWaiting(), evidenceAgeMs,
      },
    });
  }
}
