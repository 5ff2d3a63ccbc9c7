import * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import * as traces from '../traces/index.js';
import * as upstreams from '../upstreams/index.js';
import * as vms from '../vms/index.js';
import type * as eventQueue from './EventQueue.js';

const SEED_PEERS_PER_PLACE = 2;

/** Options of a `Population`. */
export interface PopulationOptions {
  readonly plan: contracts.DeploymentPlan;
  readonly queue: eventQueue.EventQueue;
  readonly random: core.randomness.RandomSource;
  readonly codec: core.contracts.DocumentCodec;
  readonly rules: Partial<core.vms.VmRules> | undefined;
  readonly outbox: (machine: vms.FakeMachine, output: core.vms.VmOutput) => void;
  /** Called when an instance begins to run a request. */
  readonly onRun: (instance: upstreams.FakeInstance, token: string) => void;
}

/** Machines and upstream instances of a deployment, spread over its places in turn. */
export class Population {
  readonly machines = new Map<string, vms.FakeMachine>();

  readonly instances = new Map<string, upstreams.FakeInstance>();

  private readonly byService = new Map<string, readonly upstreams.FakeInstance[]>();

  private readonly leaving = new Set<vms.FakeMachine>();

  /** @param options - Deployment and surroundings. */
  constructor(private readonly options: PopulationOptions) {
    this.createMachines();
    this.createInstances();
  }

  /**
   * Lists the instances of a service.
   * @param service - Name of the service.
   */
  listInstances(service: string): readonly upstreams.FakeInstance[] {
    return this.byService.get(service) ?? [];
  }

  /**
   * Notes that a VM leaves.
   * @param machine - Machine of the VM.
   */
  markLeaving(machine: vms.FakeMachine): void {
    this.leaving.add(machine);
  }

  /**
   * Notes that a VM no longer leaves, since its process has ended.
   * @param machine - Machine of the VM.
   */
  clearLeaving(machine: vms.FakeMachine): void {
    this.leaving.delete(machine);
  }

  /** Lists the true entries of the list of VMs. */
  listEntries(): readonly core.vms.ListEntry[] {
    const machines = [...this.machines.values()].filter((machine) => machine.getState() !== 'dead');
    const instances = [...this.instances.values()].filter((instance) => instance.getState() !== 'dead');
    return [...machines.map((machine) => this.buildEntry(machine)), ...instances.map((instance) => instance.buildListEntry())];
  }

  // The settings of a process name two VMs of each place.
  private listSeedPeers(): readonly core.vms.EntryVmListEntry[] {
    const count = SEED_PEERS_PER_PLACE * this.options.plan.places.length;
    return [...this.machines.values()].slice(0, count).map((machine) => this.buildEntry(machine));
  }

  private buildEntry(machine: vms.FakeMachine): core.vms.EntryVmListEntry {
    const {
      name, host, port, peerPort, place,
    } = machine.identity;
    return {
      role: 'entry', name, host, port, peerPort, place, state: this.leaving.has(machine) ? 'leaving' : 'live',
    };
  }

  private createMachines(): void {
    const {
      plan, queue, random, codec, rules, outbox,
    } = this.options;
    Array.from({ length: plan.vms }, (_, index) => index).forEach((index) => {
      const name = traces.PlanNames.formatVm(index);
      this.machines.set(name, new vms.FakeMachine({
        name,
        place: plan.places[index % plan.places.length]!.name,
        index,
        deployment: plan.name,
        seed: random.drawInteger(0x7fffffff),
        queue,
        codec,
        seedPeers: () => this.listSeedPeers(),
        rules,
        outbox,
      }));
    });
  }

  private createInstances(): void {
    const {
      plan, queue, random, onRun,
    } = this.options;
    plan.services.forEach((service, serviceIndex) => {
      const created = Array.from({ length: service.instances }, (_, index) => new upstreams.FakeInstance({
        name: traces.PlanNames.formatInstance(service.contract.name, index),
        place: plan.places[index % plan.places.length]!.name,
        index: serviceIndex * 1_000 + index,
        plan: service,
        queue,
        random: new core.randomness.SeededRandomSource(random.drawInteger(0x7fffffff)),
        onRun,
      }));
      this.byService.set(service.contract.name, created);
      created.forEach((instance) => this.instances.set(instance.endpoint.name, instance));
    });
  }
}
