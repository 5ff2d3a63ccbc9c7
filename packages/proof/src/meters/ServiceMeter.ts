import type * as core from '@tamarackferry/core';

import type * as callers from '../callers/index.js';
import type * as worlds from '../worlds/index.js';

/** Counts of one kind of one service. */
export interface KindCounts {
  readonly service: string;
  readonly kind: string;
  readonly weight: number;
  requests: number;
  /** Answered correctly and on time, as the caller saw it. */
  onTime: number;
  late: number;
  wrong: number;
  notRun: number;
  unknown: number;
  attempts: number;
}

const COUNTED: Readonly<Partial<Record<callers.CallState, 'onTime' | 'late' | 'wrong' | 'notRun' | 'unknown'>>> = {
  'answered-on-time': 'onTime', 'answered-late': 'late', 'answered-wrong': 'wrong', 'not-run': 'notRun', unknown: 'unknown',
};

/** Counts what callers asked for and what they got. */
export class ServiceMeter {
  private readonly counts = new Map<core.contracts.RequestKind, KindCounts>();

  /**
   * Handles what happened.
   * @param event - Event of the world.
   */
  handle(event: worlds.WorldEvent): void {
    if (event.type === 'request-begun') this.getCounts(event.record).requests += 1;
    if (event.type === 'attempt-sent' && event.record !== undefined) this.getCounts(event.record).attempts += 1;
    if (event.type === 'request-ended') this.countEnd(event);
  }

  /** Lists the counts by service and kind. */
  listCounts(): readonly KindCounts[] {
    return [...this.counts.values()];
  }

  /**
   * Computes the weighted share of requests that were answered correctly and on time.
   * @param service - Service to count, or undefined for all.
   */
  computeOnTimeShare(service?: string): number {
    const counts = this.listCounts().filter((count) => service === undefined || count.service === service);
    const asked = counts.reduce((sum, count) => sum + count.weight * count.requests, 0);
    return asked === 0 ? 1 : counts.reduce((sum, count) => sum + count.weight * count.onTime, 0) / asked;
  }

  /** Computes attempts over requests, minus one. Requests that were never sent to an instance count as requests. */
  computeExtraLoad(): number {
    const requests = this.listCounts().reduce((sum, count) => sum + count.requests, 0);
    const attempts = this.listCounts().reduce((sum, count) => sum + count.attempts, 0);
    return requests === 0 ? 0 : attempts / requests - 1;
  }

  private countEnd(event: Extract<worlds.WorldEvent, { type: 'request-ended' }>): void {
    const counts = this.getCounts(event.record);
    const before = COUNTED[event.previous];
    const after = COUNTED[event.record.state];
    if (before !== undefined) counts[before] -= 1;
    if (after !== undefined) counts[after] += 1;
  }

  private getCounts(record: callers.CallRecord): KindCounts {
    const { kind } = record.options;
    const known = this.counts.get(kind);
    if (known !== undefined) return known;
    const counts: KindCounts = {
      service: record.service,
      kind: kind.name,
      weight: kind.weight,
      requests: 0,
      onTime: 0,
      late: 0,
      wrong: 0,
      notRun: 0,
      unknown: 0,
      attempts: 0,
    };
    this.counts.set(kind, counts);
    return counts;
  }
}
