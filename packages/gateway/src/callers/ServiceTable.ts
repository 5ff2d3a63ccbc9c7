import type * as core from '@tamarackferry/core';

import type * as configuration from '../contracts/Configuration.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import * as leavingInstances from '../upstreams/LeavingInstances.js';
import type * as pooledInstance from '../upstreams/PooledInstance.js';
import * as activeVms from '../vms/ActiveVms.js';
import type * as retryBudget from './RetryBudget.js';
import * as routedService from './RoutedService.js';
import type * as serviceOutcomes from './ServiceOutcomes.js';
import type * as statementLog from './StatementLog.js';

// Evidence that arrives before the first instances is kept for this time, since the others may have started a moment earlier and already
// lost requests. The number bounds its memory.
const MAX_EARLY_AGE_MS = 2_000;
const MAX_EARLY_NOTICES = 500;

// Services whose outcomes are sent at a time, so that a message stays small however many services there are.
const MAX_REPORTED_SERVICES = 64;

interface EarlyNotice {
  readonly from: string;
  readonly rows: readonly instanceEvidence.InstanceEvidence[];
  readonly atMs: number;
}

/** Options of a `ServiceTable`. */
export interface ServiceTableOptions {
  /** Name of the VM. */
  readonly vm: string;
  /** Place of the VM. */
  readonly place: string;
  readonly random: core.randomness.RandomSource;
  /** This VM's share of the retries to each service. */
  readonly budget: retryBudget.RetryBudgetOptions;
  /** Smallest share of the sound instances of a service that must be used while many of its requests are not served. */
  readonly floorShare: number;
  readonly statementLog: statementLog.StatementLog;
}

/** States of all services in this VM. */
export class ServiceTable {
  private readonly entries = new Map<string, routedService.RoutedService>();

  // Instances that this VM has used and about which it may have evidence.
  private readonly used = new Set<pooledInstance.PooledInstance>();

  // Evidence of other VMs that arrived before the first instances.
  private readonly early: EarlyNotice[] = [];

  private readonly leaving = new leavingInstances.LeavingInstances();

  private budget: retryBudget.RetryBudgetOptions;

  private readonly activeVms: activeVms.ActiveVms;

  private evidenceReceivedAtMs: number | undefined;

  /** @param options - Place of the VM, random source and retry budget. */
  constructor(private readonly options: ServiceTableOptions) {
    this.budget = options.budget;
    this.activeVms = new activeVms.ActiveVms(options.vm);
  }

  /**
   * Gets the state of a service; creates it if the service is new.
   * @param service - Name of the service.
   */
  getService(service: string): routedService.RoutedService {
    const existing = this.entries.get(service);
    if (existing !== undefined) return existing;
    const { place, random, floorShare } = this.options;
    const created = new routedService.RoutedService({
      pool: {
        service, place, random, floorShare, activeVms: this.activeVms, leaving: this.leaving,
      },
      budget: this.budget,
    });
    this.entries.set(service, created);
    return created;
  }

  /** Lists the states of all services. */
  listServices(): readonly routedService.RoutedService[] {
    return [...this.entries.values()];
  }

  /**
   * Applies a changed retry budget to all services.
   * @param budget - This VM's share of the retries to each service.
   */
  applyBudget(budget: retryBudget.RetryBudgetOptions): void {
    this.budget = budget;
    this.entries.forEach((entry) => entry.budget.applyOptions(budget));
  }

  /**
   * Applies the service settings of a newer configuration.
   * @param applied - Newer configuration.
   */
  applyConfiguration(applied: configuration.Configuration): void {
    applied.services.forEach((service) => {
      this.getService(service.name).maxConnections = service.maxConnections;
    });
  }

  /**
   * Replaces the instances of all services.
   * @param records - Published records of the instances to use.
   * @param nowMs - Current time.
   */
  applyInstances(records: readonly instanceRecord.InstanceRecord[], nowMs: number): void {
    const byService = new Map<string, instanceRecord.InstanceRecord[]>();
    records.forEach((record) => {
      const listed = byService.get(record.service);
      if (listed === undefined) byService.set(record.service, [record]);
      else listed.push(record);
    });
    this.leaving.prune(records, nowMs);
    byService.forEach((_, service) => this.getService(service));
    this.entries.forEach((entry, service) => entry.pool.setInstances(byService.get(service) ?? [], nowMs));
    this.early.filter((notice) => nowMs - notice.atMs <= MAX_EARLY_AGE_MS)
      .forEach((notice) => this.applyRows(notice.from, notice.rows, notice.atMs));
    this.early.length = 0;
  }

  /**
   * Records that an instance has stated that it is leaving, so that it gets no new requests of this VM.
   * @param record - Published record by which the request was sent.
   * @param nowMs - Current time.
   */
  recordLeaving(record: instanceRecord.InstanceRecord, nowMs: number): void {
    if (this.leaving.record(record, nowMs) === 'known') return;
    // The instance may have been published under another service since.
    this.entries.forEach(({ pool }) => {
      if (pool.getInstance(record.id) !== undefined) pool.updateReady();
    });
    this.options.statementLog.logLeaving(record);
  }

  /**
   * Applies evidence that another VM has sent.
   * @param from - Name of the other VM.
   * @param rows - Evidence about instances, from the requests of that VM.
   * @param nowMs - Current time.
   */
  applyEvidence(from: string, rows: readonly instanceEvidence.InstanceEvidence[], nowMs: number): void {
    this.evidenceReceivedAtMs = nowMs;
    this.activeVms.record(from, nowMs);
    if (this.entries.size > 0) this.applyRows(from, rows, nowMs);
    else if (this.early.length < MAX_EARLY_NOTICES) this.early.push({ from, rows, atMs: nowMs });
  }

  /**
   * Computes the time since another VM has sent evidence, in milliseconds. Undefined if none has.
   * @param nowMs - Current time.
   */
  computeEvidenceAgeMs(nowMs: number): number | undefined {
    return this.evidenceReceivedAtMs === undefined ? undefined : Math.round(nowMs - this.evidenceReceivedAtMs);
  }

  /**
   * Applies the outcomes that another VM has sent.
   * @param from - Name of the other VM.
   * @param outcomes - Numbers of its recent requests, by service.
   * @param nowMs - Current time.
   */
  applyOutcomes(from: string, outcomes: readonly serviceOutcomes.ServiceOutcome[], nowMs: number): void {
    outcomes.forEach((outcome) => this.entries.get(outcome.service)?.outcomes.recordPeer(from, outcome, nowMs));
  }

  /**
   * Lists the outcomes of the recent requests of this VM, of the services that had any. If there are too many, those with the most requests
   * that were not served come first.
   * @param nowMs - Current time.
   */
  listOutcomes(nowMs: number): serviceOutcomes.ServiceOutcome[] {
    return [...this.entries]
      .map(([service, entry]) => ({ service, ...entry.outcomes.summarize(nowMs) }))
      .filter(({ requests }) => requests > 0)
      .sort((left, right) => right.unserved - left.unserved)
      .slice(0, MAX_REPORTED_SERVICES);
  }

  private applyRows(from: string, rows: readonly instanceEvidence.InstanceEvidence[], nowMs: number): void {
    rows.forEach((row) => {
      const instance = this.entries.get(row.service)?.pool.getInstance(row.instance);
      if (instance === undefined) return;
      const previousPerSecond = instance.getLimit();
      instance.recordPeerEvidence(from, row, nowMs);
      this.options.statementLog.logLimit(instance, previousPerSecond, from);
    });
  }

  /**
   * Records that this VM has sent a request to an instance, so that there is evidence about it.
   * @param instance - Instance that a request was sent to.
   */
  recordUse(instance: pooledInstance.PooledInstance): void {
    this.used.add(instance);
  }

  /**
   * Lists the evidence about the used instances, from the requests of this VM only.
   * @param nowMs - Current time.
   */
  listEvidence(nowMs: number): instanceEvidence.InstanceEvidence[] {
    return [...this.used].map((instance) => ({
      instance: instance.getRecord().id,
      service: instance.getRecord().service,
      deviation: Number(instance.computeDeviation(nowMs).toFixed(2)),
      inFlight: instance.countInFlight(),
      limit: instance.buildLimitEvidence(nowMs),
    }));
  }

  /** Counts the used instances about which there may be evidence that the other VMs need. */
  countUsed(): number {
    return this.used.size;
  }

  /**
   * Forgets the used instances that have no request in flight and about which the other VMs need no evidence.
   * @param isReported - Whether the other VMs hold relevant evidence about an instance, by its id.
   */
  releaseUnused(isReported: (instance: string) => boolean): void {
    this.used.forEach((instance) => {
      if (instance.countInFlight() === 0 && !isReported(instance.getRecord().id)) this.used.delete(instance);
    });
  }
}
