import type * as core from '@tamarackferry/core';

import type * as route from '../contracts/Route.js';
import * as exploringPlacement from './ExploringPlacement.js';
import type * as instanceRecord from './InstanceRecord.js';
import type * as placementPolicy from './PlacementPolicy.js';
import * as pooledInstance from './PooledInstance.js';
import * as provenPlacement from './ProvenPlacement.js';

// A request that cannot be repeated rather waits for a better instance than go to one that probably fails it.
const MAX_NORMAL_FAILURE_PROBABILITY = 0.4;

/**
 * What a request that waits makes do with.
 * - `patient`: waits on rather than go to a doubtful instance.
 * - `urgent`: goes to any instance that has room.
 * - `pressing`: waits at an instance rather than be refused after all.
 */
export type RequestUrgency = 'normal' | 'urgent' | 'critical';

// Requests that may wait at an instance with full slots, so that no slot is idle until the VM hears of an answer.
const MAX_QUEUED_AT_INSTANCE = 1;

// The same for pressing requests, in relation to the slots.
const MAX_QUEUED_SLOT_SHARE = 0.5;

// Share of the instances that may be left out: the rest must go on getting requests, whatever is believed of them.
const MAX_EXCLUDED_SHARE = 0.3;

/** Options of a `ServicePool`. */
export interface ServicePoolOptions {
  readonly service: string;
  /** Place of the VM. */
  readonly place: string;
  readonly random: core.randomness.RandomSource;
}

interface EligibleInstance {
  readonly instance: pooledInstance.PooledInstance;
  readonly failure: number;
}

/** Instances of one service, as one VM uses them. */
export class ServicePool {
  private readonly instances = new Map<string, pooledInstance.PooledInstance>();

  private readonly policies: Readonly<Record<route.RequestKind, placementPolicy.PlacementPolicy>> = {
    idempotent: new exploringPlacement.ExploringPlacement(),
    'non-idempotent': new provenPlacement.ProvenPlacement(),
  };

  /** @param options - Service and place. */
  constructor(private readonly options: ServicePoolOptions) {}

  /**
   * Takes the published instances of the service.
   * @param records - Entries of the service.
   * @param nowMs - Time of the reading.
   */
  setInstances(records: readonly instanceRecord.InstanceRecord[], nowMs: number): void {
    const published = new Set(records.map((record) => record.id));
    [...this.instances.keys()].filter((id) => !published.has(id)).forEach((id) => this.instances.delete(id));
    records.forEach((record) => {
      const existing = this.instances.get(record.id);
      if (existing === undefined) this.instances.set(record.id, new pooledInstance.PooledInstance(record, nowMs));
      else if (existing.getRecord() !== record) existing.update(record, nowMs);
    });
  }

  /** Counts the slots of the instances that take new requests. */
  countSlots(): number {
    return [...this.instances.values()]
      .reduce((sum, instance) => sum + (ServicePool.isReady(instance) ? instance.getRecord().slots : 0), 0);
  }

  /** Lists the instances. */
  listInstances(): readonly pooledInstance.PooledInstance[] {
    return [...this.instances.values()];
  }

  /**
   * Gets an instance by its id.
   * @param id - Id of the instance.
   */
  getInstance(id: string): pooledInstance.PooledInstance | undefined {
    return this.instances.get(id);
  }

  /**
   * Chooses an instance with room, or undefined if there is none.
   * @param kind - Kind of the request.
   * @param tried - Ids of the instances that the request was sent to before.
   * @param nowMs - Present time.
   * @param patience - Whether the request may wait for a better instance than a doubtful one.
   */
  chooseInstance(
    kind: route.RequestKind,
    tried: readonly string[],
    nowMs: number,
    urgency: RequestUrgency = 'normal',
  ): pooledInstance.PooledInstance | undefined {
    const policy = this.policies[kind];
    const eligible = this.listEligible(kind === 'idempotent' && urgency === 'normal' ? 'urgent' : urgency, nowMs);
    let best: pooledInstance.PooledInstance | undefined;
    let bestCost = Infinity;
    // A loop, since this scan runs for each request.
    eligible.forEach(({ instance, failure }) => {
      const record = instance.getRecord();
      const load = instance.estimateLoad(nowMs) / record.slots;
      const maxQueued = urgency === 'critical' ? Math.max(MAX_QUEUED_AT_INSTANCE, record.slots * MAX_QUEUED_SLOT_SHARE) : MAX_QUEUED_AT_INSTANCE;
      if (load > 1 + (maxQueued - 0.5) / record.slots || tried.includes(record.id)) return;
      const cost = policy.computeCost({
        failure,
        load,
        distance: record.place === this.options.place ? 'same-place' : 'other-place',
        condition: instance.isWarming(nowMs) ? 'warming' : 'warm',
        idleMs: instance.computeIdleMs(nowMs),
      }) + this.options.random.drawFraction() * 1e-4;
      if (cost >= bestCost) return;
      best = instance;
      bestCost = cost;
    });
    return best;
  }

  // The most doubtful instances are left out for a patient request.
  private listEligible(urgency: RequestUrgency, nowMs: number): readonly EligibleInstance[] {
    const ready: EligibleInstance[] = [];
    this.instances.forEach((instance) => {
      if (ServicePool.isReady(instance)) ready.push({ instance, failure: instance.estimateFailureProbability(nowMs) });
    });
    if (urgency !== 'normal' || ready.every(({ failure }) => failure <= MAX_NORMAL_FAILURE_PROBABILITY)) return ready;
    const minKept = Math.ceil(ready.length * (1 - MAX_EXCLUDED_SHARE));
    return ready
      .sort((left, right) => left.failure - right.failure)
      .filter(({ failure }, index) => index < minKept || failure <= MAX_NORMAL_FAILURE_PROBABILITY);
  }

  private static isReady(instance: pooledInstance.PooledInstance): boolean {
    return instance.getRecord().state === 'ready';
  }
}
