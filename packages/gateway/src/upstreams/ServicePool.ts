import type * as core from '@tamarackferry/core';

import type * as activeVms from '../vms/ActiveVms.js';
import type * as route from '../contracts/Route.js';
import * as exploringPlacement from './ExploringPlacement.js';
import type * as instanceRecord from './InstanceRecord.js';
import type * as leavingInstances from './LeavingInstances.js';
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

// Instances that are compared for one request. A larger service is compared in part, starting at a random instance, so that the cost of a
// choice does not grow with the service; all instances are compared only if none of the part has free capacity.
const MAX_COMPARED_INSTANCES = 256;

// Greatest share of the compared instances that may be excluded. The others continue to receive requests, however high their failure
// probability is.
const MAX_EXCLUDED_SHARE = 0.3;

// While a service is served poorly, the VMs together use a little more than the required share of its instances without a failure in the
// given time, since the VMs know of each other's use with a delay.
const FLOOR_MARGIN = 0.08;
const COVERAGE_SPAN_MS = 2_000;
const COVERAGE_LIFETIME_MS = 50;

// Age at which the sum of the limits of a service is computed again.
const LIMIT_SUM_LIFETIME_MS = 50;

/** Options of a `ServicePool`. */
export interface ServicePoolOptions {
  readonly service: string;
  /** Place of the VM. */
  readonly place: string;
  readonly random: core.randomness.RandomSource;
  /** Smallest share of the sound instances that must be used while many requests are not served. */
  readonly floorShare: number;
  readonly activeVms: activeVms.ActiveVms;
  /** Instances that get no new requests, whatever is published about them. */
  readonly leaving: leavingInstances.LeavingInstances;
}

/** Which instances of a service the VMs use, as far as this VM knows. */
export interface PoolUse {
  /** Instances that accept new requests. */
  readonly ready: number;
  /** Those of them without a recent failure and without a limit. */
  readonly sound: number;
  /** Sound instances that a VM is known to have used recently. */
  readonly used: number;
  /** Smallest number of sound instances that should be used while the service is served poorly. */
  readonly required: number;
}

interface LimitSum {
  readonly instances: number;
  readonly slots: number;
  readonly perSecond: number;
  readonly atMs: number;
}

interface InstanceQuery {
  readonly kind: route.RequestKind;
  readonly tried: readonly string[];
  readonly nowMs: number;
  readonly urgency: RequestUrgency;
  readonly condition: placementPolicy.ServiceCondition;
}

/** Instances of one service, with the load and health that this VM has recorded for each. */
export class ServicePool {
  private readonly instances = new Map<string, pooledInstance.PooledInstance>();

  // Instances that accept new requests, and the number of their slots.
  private ready: readonly pooledInstance.PooledInstance[] = [];

  private slots = 0;

  private limitSum: LimitSum = {
    instances: 0, slots: 0, perSecond: 0, atMs: -Infinity,
  };

  private coverage: 'sufficient' | 'insufficient' = 'sufficient';

  private coveredAtMs = -Infinity;

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
    this.updateReady();
  }

  /** Determines again which instances accept new requests. */
  updateReady(): void {
    this.limitSum = { ...this.limitSum, atMs: -Infinity };
    this.ready = [...this.instances.values()]
      .filter((instance) => instance.getRecord().state === 'ready' && !this.options.leaving.isLeaving(instance.getRecord()));
    this.slots = this.ready.reduce((sum, instance) => sum + instance.getRecord().slots, 0);
  }

  /** Counts the slots of the instances that accept new requests. */
  countSlots(): number {
    return this.slots;
  }

  /**
   * Estimates the number of slots that may be used at the same time: those of an instance with a limit as far as the limit fills them.
   * @param serviceMs - Typical time that a request occupies a slot, in milliseconds.
   * @param nowMs - Current time.
   */
  estimateUsableSlots(serviceMs: number, nowMs: number): number {
    const limited = this.sumLimits(nowMs);
    return this.slots - limited.slots + Math.min(limited.slots, (limited.perSecond * serviceMs) / 1_000);
  }

  /** Counts the instances that are published as ready and have stated to this VM that they are leaving. */
  countLeaving(): number {
    return [...this.instances.values()].map((instance) => instance.getRecord())
      .filter((record) => record.state === 'ready' && this.options.leaving.isLeaving(record)).length;
  }

  /**
   * Counts the instances that state a limit.
   * @param nowMs - Current time.
   */
  countLimited(nowMs: number): number {
    return this.sumLimits(nowMs).instances;
  }

  private sumLimits(nowMs: number): LimitSum {
    if (nowMs - this.limitSum.atMs < LIMIT_SUM_LIFETIME_MS) return this.limitSum;
    const limited = this.ready.filter((instance) => instance.getLimit() !== undefined);
    this.limitSum = {
      instances: limited.length,
      slots: limited.reduce((sum, instance) => sum + instance.getRecord().slots, 0),
      perSecond: limited.reduce((sum, instance) => sum + instance.getLimit()!, 0),
      atMs: nowMs,
    };
    return this.limitSum;
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
   * @param condition - How well the service is served.
   */
  chooseInstance(
    kind: route.RequestKind,
    tried: readonly string[],
    nowMs: number,
    urgency: RequestUrgency = 'normal',
    condition: placementPolicy.ServiceCondition = 'good',
  ): pooledInstance.PooledInstance | undefined {
    const compared = Math.min(this.ready.length, MAX_COMPARED_INSTANCES);
    const first = compared < this.ready.length ? this.options.random.drawInteger(this.ready.length) : 0;
    const query = {
      kind, tried, nowMs, urgency, condition: condition !== 'good' && this.isCovered(nowMs) ? 'good' as const : condition,
    };
    const chosen = this.findCheapest(query, first, compared);
    return chosen === undefined && compared < this.ready.length
      ? this.findCheapest(query, first + compared, this.ready.length - compared)
      : chosen;
  }

  private findCheapest(query: InstanceQuery, first: number, count: number): pooledInstance.PooledInstance | undefined {
    const {
      kind, tried, nowMs, urgency,
    } = query;
    // The first attempt of an idempotent request may explore; a retry goes to an instance that is known to answer.
    const policy = this.policies[tried.length > 0 ? 'non-idempotent' : kind];
    // An idempotent request can be retried, so it is sent to instances that may fail as well.
    const excluded = kind === 'non-idempotent' && urgency === 'normal' ? this.listExcluded(query, first, count) : [];
    let best: pooledInstance.PooledInstance | undefined;
    let bestCost = Infinity;
    const vm = this.options.activeVms.getOwnName();
    const activeNames = this.options.activeVms.listNames(nowMs);
    // Without intermediate arrays, since this runs for each request.
    for (let index = first; index < first + count; index += 1) {
      const instance = this.ready[index % this.ready.length]!;
      const record = instance.getRecord();
      const usedShare = instance.evaluate(nowMs).load / record.slots;
      const maxQueued = urgency === 'critical' ? Math.max(MAX_QUEUED_AT_INSTANCE, record.slots * MAX_QUEUED_SLOT_SHARE) : MAX_QUEUED_AT_INSTANCE;
      // An instance has free capacity while the rounded number of requests at it is below its slots and the permitted queue together.
      const hasCapacity = usedShare <= 1 + (maxQueued - 0.5) / record.slots;
      const isAcceptable = hasCapacity && !tried.includes(record.id) && !excluded.includes(instance);
      if (isAcceptable && instance.canAcceptRequest(vm, activeNames, nowMs)) {
        // The random part decides between instances of equal cost.
        const cost = policy.computeCost(this.buildCandidate(instance, nowMs), query.condition) + this.options.random.drawFraction() * 1e-4;
        if (cost < bestCost) {
          best = instance;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  // Whether the VMs use enough of the instances that may be sound. The result is kept for a short time, since it concerns all instances.
  private isCovered(nowMs: number): boolean {
    if (nowMs - this.coveredAtMs < COVERAGE_LIFETIME_MS) return this.coverage === 'sufficient';
    const { used, required } = this.summarizeUse(nowMs);
    this.coverage = used >= required ? 'sufficient' : 'insufficient';
    this.coveredAtMs = nowMs;
    return this.coverage === 'sufficient';
  }

  /**
   * Counts the sound instances, and those of them that the VMs use.
   * @param nowMs - Current time.
   */
  summarizeUse(nowMs: number): PoolUse {
    // An instance with a limit gets what it accepts, however poorly the service is served.
    const sound = this.ready
      .filter((instance) => instance.getLimit() === undefined && instance.computeFailureAgeMs(nowMs) >= COVERAGE_SPAN_MS);
    return {
      ready: this.ready.length,
      sound: sound.length,
      used: sound.filter((instance) => instance.computeIdleMs(nowMs) < COVERAGE_SPAN_MS).length,
      required: Math.ceil(sound.length * Math.min(1, this.options.floorShare + FLOOR_MARGIN)),
    };
  }

  private buildCandidate(instance: pooledInstance.PooledInstance, nowMs: number): placementPolicy.PlacementCandidate {
    const { failure, load } = instance.evaluate(nowMs);
    const { slots, place } = instance.getRecord();
    return {
      failure,
      load: load / slots,
      distance: place === this.options.place ? 'same-place' : 'other-place',
      condition: instance.isWarming(nowMs) ? 'warming' : 'warm',
      idleMs: instance.computeIdleMs(nowMs),
      failureAgeMs: instance.computeFailureAgeMs(nowMs),
    };
  }

  // Lists the compared instances whose failure probability is high, up to the permitted share.
  private listExcluded({ kind, nowMs, condition }: InstanceQuery, first: number, count: number): readonly pooledInstance.PooledInstance[] {
    const suspects: pooledInstance.PooledInstance[] = [];
    for (let index = first; index < first + count; index += 1) {
      const instance = this.ready[index % this.ready.length]!;
      if (
        instance.evaluate(nowMs).failure > MAX_NORMAL_FAILURE_PROBABILITY
        && !this.policies[kind].needsTrial(this.buildCandidate(instance, nowMs), condition)
      ) suspects.push(instance);
    }
    const maxExcluded = Math.floor(count * MAX_EXCLUDED_SHARE);
    if (suspects.length <= maxExcluded) return suspects;
    return suspects.sort((left, right) => right.evaluate(nowMs).failure - left.evaluate(nowMs).failure).slice(0, maxExcluded);
  }
}
