import type * as core from '@tamarackferry/core';

import type * as route from '../contracts/Route.js';
import * as exploringPlacement from './ExploringPlacement.js';
import type * as instanceRecord from './InstanceRecord.js';
import type * as placementPolicy from './PlacementPolicy.js';
import * as pooledInstance from './PooledInstance.js';
import * as provenPlacement from './ProvenPlacement.js';

// A non-idempotent request of normal urgency is not sent to an instance whose failure probability is above this value; it waits for
// another instance.
const MAX_NORMAL_FAILURE_PROBABILITY = 0.4;

/**
 * How urgently a request must be sent to an instance, depending on the time for which it has waited.
 * - `normal`: waits rather than being sent to an instance that probably fails.
 * - `urgent`: is sent to any instance with free capacity.
 * - `critical`: may be queued at an instance whose slots are full, behind other queued requests, so that it need not be refused.
 */
export type RequestUrgency = 'normal' | 'urgent' | 'critical';

// Requests that may be queued at an instance whose slots are full, so that a released slot is not idle until the VM has received the
// answer.
const MAX_QUEUED_AT_INSTANCE = 1;

// The same for critical requests, as a share of the slots.
const MAX_QUEUED_SLOT_SHARE = 0.5;

// Greatest share of the instances that may be excluded. The others continue to receive requests, however high their failure
// probability is.
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

/** Instances of one service, with the load and health that this VM has recorded for each. */
export class ServicePool {
  private readonly instances = new Map<string, pooledInstance.PooledInstance>();

  private readonly policies: Readonly<Record<route.RequestKind, placementPolicy.PlacementPolicy>> = {
    idempotent: new exploringPlacement.ExploringPlacement(),
    'non-idempotent': new provenPlacement.ProvenPlacement(),
  };

  /** @param options - Service, place of the VM and random source. */
  constructor(private readonly options: ServicePoolOptions) {}

  /**
   * Replaces the instances of the service. What was recorded about those that are still published is kept.
   * @param records - Published records of the instances.
   * @param nowMs - Current time.
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

  /** Counts the slots of the instances that accept new requests. */
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
   * Chooses the instance with the lowest cost among those with free capacity. Undefined if there is none.
   * @param kind - Kind of the request.
   * @param tried - Ids of the instances that were tried before for this request; they are not chosen.
   * @param nowMs - Current time.
   * @param urgency - Urgency of the request, which decides which instances are acceptable.
   */
  chooseInstance(
    kind: route.RequestKind,
    tried: readonly string[],
    nowMs: number,
    urgency: RequestUrgency = 'normal',
  ): pooledInstance.PooledInstance | undefined {
    const policy = this.policies[kind];
    // An idempotent request can be retried, so it is sent to instances that may fail as well.
    const eligible = this.listEligible(kind === 'idempotent' && urgency === 'normal' ? 'urgent' : urgency, nowMs);
    let best: pooledInstance.PooledInstance | undefined;
    let bestCost = Infinity;
    // Without intermediate arrays, since this runs for each request.
    eligible.forEach(({ instance, failure }) => {
      const record = instance.getRecord();
      const load = instance.estimateLoad(nowMs) / record.slots;
      const maxQueued = urgency === 'critical' ? Math.max(MAX_QUEUED_AT_INSTANCE, record.slots * MAX_QUEUED_SLOT_SHARE) : MAX_QUEUED_AT_INSTANCE;
      // An instance has free capacity while the rounded number of requests at it is below its slots and the permitted queue together.
      if (load > 1 + (maxQueued - 0.5) / record.slots || tried.includes(record.id)) return;
      // The random part decides between instances of equal cost.
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

  // For a request of normal urgency, instances with a high failure probability are excluded, up to the permitted share.
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
