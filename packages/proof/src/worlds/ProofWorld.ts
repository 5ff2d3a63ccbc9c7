import * as crypto from 'node:crypto';
import * as core from '@tamarackferry/core';

import * as callers from '../callers/index.js';
import * as contracts from '../contracts/index.js';
import * as links from '../links/index.js';
import * as platform from '../platform/index.js';
import * as upstreams from '../upstreams/index.js';
import * as vms from '../vms/index.js';
import * as eventQueue from './EventQueue.js';
import * as machineGroups from './MachineGroups.js';
import * as outputRouter from './OutputRouter.js';
import * as population from './Population.js';
import type * as worldEvent from './WorldEvent.js';
import type * as worldView from './WorldView.js';

const TICK_PERIOD_MS = 1_000;

const STATUS_PERIOD_MS = 500;

/** Options of a `ProofWorld`. */
export interface ProofWorldOptions {
  readonly plan: contracts.DeploymentPlan;
  readonly seed: number;
  /** Rules that replace the default ones on every VM. */
  readonly rules?: Partial<core.vms.VmRules>;
  /** Whether a digest of all outputs of the VMs is kept. */
  readonly digest?: 'kept' | 'none';
}

/** Fakes around the decisions of all VMs of a deployment, under one virtual clock. */
export class ProofWorld implements worldView.WorldView {
  readonly queue = new eventQueue.EventQueue();

  readonly links: links.LinkTable;

  readonly platform: platform.FakePlatform;

  readonly callers: callers.CallerFleet;

  readonly loads: callers.LoadGenerator;

  readonly book = new callers.CallRegistry();

  readonly documents: contracts.DocumentWriter;

  private readonly random: core.randomness.RandomSource;

  private readonly router: outputRouter.OutputRouter;

  private readonly groups: machineGroups.MachineGroups;

  private readonly observers: core.tasks.Mailbox<worldEvent.WorldEvent>[] = [];

  private readonly population: population.Population;

  private readonly digest = crypto.createHash('sha256');

  private statusAsked = new Set<vms.FakeMachine>();

  /** @param options - Deployment and seed. */
  constructor(private readonly options: ProofWorldOptions) {
    const { plan } = options;
    this.random = new core.randomness.SeededRandomSource(options.seed);
    this.links = new links.LinkTable(plan.latency, this.createRandom());
    this.documents = new contracts.DocumentWriter(plan);
    this.population = new population.Population({
      plan,
      queue: this.queue,
      random: this.random,
      codec: new contracts.CachedDocumentCodec(this.documents.createCodec()),
      rules: options.rules,
      outbox: (machine, output) => this.handleOutput(machine, output),
      onRun: (instance, token) => this.recordRun(instance, token),
    });
    const { queue, links: table, machines } = this;
    const peers = new links.PeerNetwork({ queue, links: table, getMachine: (name) => machines.get(name) });
    const connections = new upstreams.FakeConnections({
      queue,
      links: table,
      getInstance: (name) => this.instances.get(name),
      readToken: (path) => path.slice(path.lastIndexOf('/') + 1),
      onResult: (machine, instance, result) => this.notify({
        type: 'attempt-ended', machine, instance, result,
      }),
    });
    this.platform = new platform.FakePlatform({
      queue,
      links: table,
      random: this.createRandom(),
      machines: [...machines.values()],
      listEntries: () => this.population.listEntries(),
      onListRead: (machine, entries) => this.notify({ type: 'list-read', machine, entries }),
    });
    const { book } = this;
    const observer = { post: (event: worldEvent.WorldEvent) => this.notify(event) };
    this.callers = new callers.CallerFleet({
      plan, queue, links: table, random: this.createRandom(), book, machines, observer,
    });
    this.loads = new callers.LoadGenerator({
      plan, queue, random: this.createRandom(), book, callers: this.callers, observer,
    });
    this.router = new outputRouter.OutputRouter({
      callers: this.callers,
      connections,
      peers,
      platform: this.platform,
      instances: this.instances,
      book,
      observer,
      onUpstreamLog: (machine) => this.requestStatus(machine),
      onStopped: (machine) => this.endStopped(machine),
    });
    this.groups = new machineGroups.MachineGroups(table);
  }

  /** Deployment of the world. */
  get plan(): contracts.DeploymentPlan {
    return this.options.plan;
  }

  /** Machines of the VMs by name. */
  get machines(): ReadonlyMap<string, vms.FakeMachine> {
    return this.population.machines;
  }

  /** Upstream instances by name. */
  get instances(): ReadonlyMap<string, upstreams.FakeInstance> {
    return this.population.instances;
  }

  /**
   * Adds a receiver of the events of the world.
   * @param observer - Receiver; it must not act on the world.
   */
  subscribe(observer: core.tasks.Mailbox<worldEvent.WorldEvent>): void {
    this.observers.push(observer);
  }

  /** Publishes the first document and starts all VMs and callers. */
  start(): void {
    this.platform.publishText(this.documents.writeText(1, []));
    this.machines.forEach((machine) => machine.start());
    this.platform.publishListAtOnce();
    this.machines.forEach((machine, name) => {
      this.platform.start(machine);
      this.notifyMachine(name, 'started');
      this.queue.schedule(STATUS_PERIOD_MS * this.random.drawFraction(), () => this.pollStatus(machine));
    });
    this.loads.start();
    this.fireTick();
  }

  /**
   * Advances the virtual time.
   * @param toMs - Time to advance to, in milliseconds.
   */
  advanceTo(toMs: number): void {
    this.queue.advanceTo(toMs);
  }

  /** Computes a digest of all outputs of the VMs so far. */
  computeDigest(): string {
    return this.digest.copy().digest('hex');
  }

  /** Creates a random source of its own for a part of the world. */
  createRandom(): core.randomness.RandomSource {
    return new core.randomness.SeededRandomSource(this.random.drawInteger(0x7fffffff));
  }

  /**
   * Tells the observers that a machine changed.
   * @param name - Name of the machine.
   * @param change - Change.
   */
  notifyMachine(name: string, change: Extract<worldEvent.WorldEvent, { type: 'machine-changed' }>['change']): void {
    const machine = this.machines.get(name)!;
    if (change === 'stopping') this.population.markLeaving(machine);
    if (change === 'started' || change === 'killed') this.population.clearLeaving(machine);
    this.notify({
      type: 'machine-changed', machine, change, openRequests: this.callers.countOpen(machine),
    });
  }

  /**
   * Tells the observers something.
   * @param event - What happened.
   */
  notify(event: worldEvent.WorldEvent): void {
    this.observers.forEach((observer) => observer.post(event));
  }

  getNowMs(): number {
    return this.queue.getNowMs();
  }

  listMachines(): readonly vms.FakeMachine[] {
    return [...this.machines.values()];
  }

  listInstances(service: string): readonly upstreams.FakeInstance[] {
    return this.population.listInstances(service);
  }

  listGroups(): readonly (readonly vms.FakeMachine[])[] {
    return this.groups.computeGroups(this.listMachines().filter((machine) => machine.getState() === 'running'));
  }

  private recordRun(instance: upstreams.FakeInstance, token: string): void {
    const record = this.book.getRecord(token);
    if (record === undefined) return;
    record.recordRun();
    this.notify({ type: 'run-begun', instance, record });
  }

  private handleOutput(machine: vms.FakeMachine, output: core.vms.VmOutput): void {
    if (this.options.digest === 'kept') this.digest.update(`${this.getNowMs()} ${machine.endpoint.name} ${JSON.stringify(output)}\n`);
    this.router.route(machine, output);
  }

  // The process exits after the call in which it said that it has stopped.
  private endStopped(machine: vms.FakeMachine): void {
    const { run } = machine;
    this.queue.schedule(0, () => {
      if (machine.run !== run) return;
      this.notifyMachine(machine.endpoint.name, 'stopped');
      machine.kill();
      this.callers.handleGone(machine);
      this.platform.publishList();
    });
  }

  private requestStatus(machine: vms.FakeMachine): void {
    if (this.statusAsked.has(machine)) return;
    this.statusAsked.add(machine);
    this.queue.schedule(0, () => {
      this.statusAsked.delete(machine);
      if (machine.getState() === 'running') machine.deliver({ type: 'status-query', queryId: 'proof' });
    });
  }

  private pollStatus(machine: vms.FakeMachine): void {
    this.queue.schedule(STATUS_PERIOD_MS, () => this.pollStatus(machine));
    if (machine.getState() === 'running') machine.deliver({ type: 'status-query', queryId: 'proof' });
  }

  private fireTick(): void {
    this.notify({ type: 'tick' });
    this.book.pruneRecords(this.getNowMs());
    this.callers.pruneSendings();
    this.queue.schedule(TICK_PERIOD_MS, () => this.fireTick());
  }
}
