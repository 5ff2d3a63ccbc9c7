import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as endpoint from './Endpoint.js';

const SAME_PLACE_MS = 0.3;

// A lost segment is sent again after the minimum retransmission time of TCP.
const RETRANSMISSION_MS = 200;

// Peer messages that are overtaken arrive up to this much later.
const REORDER_MS = 100;

/** State of one direction between two ends. */
export interface LinkState {
  readonly state: 'passing' | 'cut';
  readonly delayMs: number;
  readonly lossShare: number;
  readonly duplicateShare: number;
  readonly reorderShare: number;
}

const PASSING: LinkState = {
  state: 'passing', delayMs: 0, lossShare: 0, duplicateShare: 0, reorderShare: 0,
};

/** Owner of the fake links: delays, losses and one-way cuts. */
export class LinkTable {
  private conditions: endpoint.LinkCondition[] = [];

  /**
   * @param latency - One-way delays.
   * @param random - Source of jitter and losses.
   */
  constructor(private readonly latency: contracts.LatencyPlan, private readonly random: core.randomness.RandomSource) {}

  /**
   * Adds a one-way condition; it replaces one between the same ends.
   * @param condition - Condition to add.
   */
  addCondition(condition: endpoint.LinkCondition): void {
    this.removeConditions(condition.from, condition.to);
    this.conditions.push(condition);
  }

  /**
   * Removes the one-way conditions between two ends, or all conditions.
   * @param from - Name that the conditions were added with, or `all` for every condition.
   * @param to - Name that the conditions were added with, or `all`.
   */
  removeConditions(from: string, to: string): void {
    this.conditions = from === 'all' && to === 'all'
      ? []
      : this.conditions.filter((condition) => condition.from !== from || condition.to !== to);
  }

  /**
   * Gets the state of one direction.
   * @param from - Sending end.
   * @param to - Receiving end.
   */
  getState(from: endpoint.Endpoint, to: endpoint.Endpoint): LinkState {
    if (this.conditions.length === 0) return PASSING;
    return this.conditions
      .filter((condition) => LinkTable.matchEnd(condition.from, from) && LinkTable.matchEnd(condition.to, to))
      .reduce<LinkState>((state, condition) => ({
        state: condition.state === 'cut' ? 'cut' : state.state,
        delayMs: state.delayMs + condition.delayMs,
        lossShare: Math.max(state.lossShare, condition.lossShare),
        duplicateShare: Math.max(state.duplicateShare, condition.duplicateShare),
        reorderShare: Math.max(state.reorderShare, condition.reorderShare),
      }), PASSING);
  }

  /**
   * Draws the time after which bytes of a stream arrive, or undefined if the direction is cut.
   * @param from - Sending end.
   * @param to - Receiving end.
   */
  drawStreamDelayMs(from: endpoint.Endpoint, to: endpoint.Endpoint): number | undefined {
    const state = this.getState(from, to);
    if (state.state === 'cut' || state.lossShare >= 1) return undefined;
    let delayMs = this.drawBaseMs(from, to) + state.delayMs;
    while (state.lossShare > 0 && this.random.drawFraction() < state.lossShare) delayMs += RETRANSMISSION_MS;
    return delayMs;
  }

  /**
   * Draws the times after which copies of a peer message arrive; none if it is lost.
   * @param from - Sending VM.
   * @param to - Receiving VM.
   */
  drawMessageDelaysMs(from: endpoint.Endpoint, to: endpoint.Endpoint): readonly number[] {
    const state = this.getState(from, to);
    if (state.state === 'cut') return [];
    if (state === PASSING) return [this.drawBaseMs(from, to)];
    if (this.random.drawFraction() < state.lossShare) return [];
    const copies = this.random.drawFraction() < state.duplicateShare ? 2 : 1;
    return Array.from({ length: copies }, () => {
      const lateMs = this.random.drawFraction() < state.reorderShare ? this.random.drawFraction() * REORDER_MS : 0;
      return this.drawBaseMs(from, to) + state.delayMs + lateMs;
    });
  }

  /**
   * Checks whether a condition names an end.
   * @param name - Name, place or role of the condition, or `all`.
   * @param end - End to check.
   */
  static matchEnd(name: string, end: endpoint.Endpoint): boolean {
    return name === end.name || name === end.place || name === end.role || name === 'all';
  }

  private drawBaseMs(from: endpoint.Endpoint, to: endpoint.Endpoint): number {
    const jitterMs = -Math.log(1 - this.random.drawFraction()) * this.latency.jitterMs;
    if (from.place === '' || to.place === '') return this.latency.callersMs + jitterMs;
    return (from.place === to.place ? SAME_PLACE_MS : this.latency.placesMs) + jitterMs;
  }
}
