import * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as worlds from '../worlds/index.js';
import type * as callRegistry from './CallRegistry.js';
import type * as callerFleet from './CallerFleet.js';

const LEAST_PER_SECOND = 0.001;

/** Options of a `LoadGenerator`. */
export interface LoadGeneratorOptions {
  readonly plan: contracts.DeploymentPlan;
  readonly queue: worlds.EventQueue;
  readonly random: core.randomness.RandomSource;
  readonly book: callRegistry.CallRegistry;
  readonly callers: callerFleet.CallerFleet;
  readonly observer: core.tasks.Mailbox<worlds.WorldEvent>;
}

/** Open-loop arrivals of a deployment: callers begin requests whether or not earlier ones were answered. */
export class LoadGenerator {
  private scale = 1;

  /** @param options - Deployment and surroundings. */
  constructor(private readonly options: LoadGeneratorOptions) {}

  /** Starts the arrivals of the plan. */
  start(): void {
    const { plan, queue, random } = this.options;
    plan.loads.filter((load) => load.perSecond > 0).forEach((load) => {
      const own = new core.randomness.SeededRandomSource(random.drawInteger(0x7fffffff));
      queue.schedule(plan.loadFromMs, () => this.scheduleArrivals(load, own));
    });
  }

  /**
   * Scales the arrivals of all loads.
   * @param factor - Factor on the rates of the plan.
   */
  scaleLoad(factor: number): void {
    this.scale = factor;
  }

  private scheduleArrivals(load: contracts.LoadPlan, random: core.randomness.RandomSource): void {
    const {
      queue, book, callers, observer,
    } = this.options;
    const plan = this.options.plan.services.find((service) => service.contract.name === load.service);
    const kind = plan?.contract.kinds.find((candidate) => candidate.name === load.kind);
    const members = callers.listCallers(load.member);
    if (plan === undefined || kind === undefined || members.length === 0) return;
    const begin = (): void => {
      const meanMs = 1_000 / Math.max(load.perSecond * this.scale, LEAST_PER_SECOND);
      queue.schedule(-Math.log(1 - random.drawFraction()) * meanMs, begin);
      const record = book.addRecord({
        member: load.member, plan, kind, sentAtMs: queue.getNowMs(),
      });
      observer.post({ type: 'request-begun', record });
      random.pickItem(members)!.begin(record);
    };
    begin();
  }
}
