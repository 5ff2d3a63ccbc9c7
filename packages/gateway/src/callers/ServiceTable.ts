import type * as core from '@tamarackferry/core';

import type * as configuration from '../contracts/Configuration.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as retryBudget from './RetryBudget.js';
import * as routedService from './RoutedService.js';

/** Options of `ServiceDesks`. */
export interface ServiceTableOptions {
  /** Place of the VM. */
  readonly place: string;
  readonly random: core.randomness.RandomSource;
  /** Share of this VM in the repeats of each service. */
  readonly budget: retryBudget.RetryBudgetOptions;
}

/** What a VM keeps for each service. */
export class ServiceTable {
  private readonly entries = new Map<string, routedService.RoutedService>();

  private budget: retryBudget.RetryBudgetOptions;

  /** @param options - Place and bounds. */
  constructor(private readonly options: ServiceTableOptions) {
    this.budget = options.budget;
  }

  /**
   * Gets what is kept for a service.
   * @param service - Name of the service.
   */
  getService(service: string): routedService.RoutedService {
    const existing = this.entries.get(service);
    if (existing !== undefined) return existing;
    const { place, random } = this.options;
    const created = new routedService.RoutedService({ pool: { service, place, random }, budget: this.budget });
    this.entries.set(service, created);
    return created;
  }

  /** Lists what is kept for all services. */
  listServices(): readonly routedService.RoutedService[] {
    return [...this.entries.values()];
  }

  /**
   * Takes changed bounds of repeats.
   * @param budget - Share of this VM in the repeats of each service.
   */
  applyBudget(budget: retryBudget.RetryBudgetOptions): void {
    this.budget = budget;
    this.entries.forEach((entry) => entry.budget.applyOptions(budget));
  }

  /**
   * Takes the services of a newer configuration.
   * @param applied - Configuration.
   */
  applyConfiguration(applied: configuration.Configuration): void {
    applied.services.forEach((service) => {
      this.getService(service.name).maxConnections = service.maxConnections;
    });
  }

  /**
   * Takes the instances to use, of all services.
   * @param records - Entries of the instances.
   * @param nowMs - Present time.
   */
  applyInstances(records: readonly instanceRecord.InstanceRecord[], nowMs: number): void {
    const byService = new Map<string, instanceRecord.InstanceRecord[]>();
    records.forEach((record) => {
      const listed = byService.get(record.service);
      if (listed === undefined) byService.set(record.service, [record]);
      else listed.push(record);
    });
    byService.forEach((_, service) => this.getService(service));
    this.entries.forEach((entry, service) => entry.pool.setInstances(byService.get(service) ?? [], nowMs));
  }

  /**
   * Takes what another VM knows.
   * @param from - Name of the VM.
   * @param rows - What it knows of instances.
   * @param nowMs - Present time.
   */
  applyEvidence(from: string, rows: readonly instanceEvidence.InstanceEvidence[], nowMs: number): void {
    rows.forEach((row) => this.entries.get(row.service)?.pool.getInstance(row.instance)?.recordPeerEvidence(from, row, nowMs));
  }

  /**
   * Lists what this VM knows of all instances from its own requests.
   * @param nowMs - Present time.
   */
  listEvidence(nowMs: number): instanceEvidence.InstanceEvidence[] {
    return [...this.entries].flatMap(([service, entry]) => entry.pool.listInstances().map((instance) => ({
      instance: instance.getRecord().id,
      service,
      deviation: Number(instance.computeDeviation(nowMs).toFixed(2)),
      inFlight: instance.countInFlight(),
    })));
  }
}
