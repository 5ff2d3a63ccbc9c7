import * as crypto from 'node:crypto';
import * as core from '@tamarackferry/core';

import * as callers from '../callers/index.js';
import * as contracts from '../contracts/index.js';
import * as links from '../links/index.js';
import * as platform from '../platform/index.js';
import * as traces from '../traces/index.js';
import * as upstreams from '../upstreams/index.js';
import * as vms from '../vms/index.js';
import * as eventQueue from './EventQueue.js';
import * as machineGroups from './MachineGroups.js';
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

  readonly machines = new Map<string, vms.FakeMachine>();

  readonly instances = new Map<string, upstreams.FakeInstance>();

  readonly platform: platform.FakePlatform;

  readonly callers: callers.CallerFleet;

  readonly book = new callers.CallBook();

  readonly documents: contracts.DocumentWriter;

  private readonly random: core.randomness.RandomSource;

  private readonly connections: upstreams.FakeConnections;

  private readonly peers: links.PeerNetwork;

  private readonly groups: machineGroups.MachineGroups;

  private readonly observers: core.tasks.Mailbox<worldEvent.WorldEvent>[] = [];

  private readonly byService = new Map<string, upstreams.FakeInstance[]>();

  private readonly leaving = new Set<vms.FakeMachine>();

  private readonly digest = crypto.createHash('sha256');

  private statusAsked = new Set<vms.FakeMachine>();

  /** @param options - Deployment and seed. */
  constructor(private readonly options: ProofWorldOptions) {
    const { plan } = options;
    this.random = new core.randomness.SeededRandomSource(options.seed);
    this.links = new links.LinkTable(plan.latency, this.createRandom());
    this.documents = new contracts.DocumentWriter(plan);
    this.createMachines();
    this.createInstances();
    const { queue, links: table, machines } = this;
    this.peers = new links.PeerNetwork({ queue, links: table, getMachine: (name) => machines.get(name) });
    this.connections = new upstreams.FakeConnections({
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
      listEntries: () => this.listEntries(),
      onListRead: (machine, entries) => this.notify({ type: 'list-read', machine, entries }),
    });
    this.callers = new callers.CallerFleet({
      plan, queue, links: table, random: this.createRandom(), book: this.book, machines, observer: { post: (event) => this.notify(event) },
    });
    this.groups = new machineGroups.MachineGroups(table);
  }

  /** Deployment of the world. */
  get plan(): contracts.DeploymentPlan {
    return this.options.plan;
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
    this.callers.start();
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
    if (change === 'stopping') this.leaving.add(machine);
    if (change === 'started' || change === 'killed') this.leaving.delete(machine);
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
    return this.byService.get(service) ?? [];
  }

  listGroups(): readonly (readonly vms.FakeMachine[])[] {
    return this.groups.computeGroups(this.listMachines().filter((machine) => machine.getState() === 'running'));
  }

  private createMachines(): void {
    const { plan, rules } = this.options;
    const codec = new contracts.CachedDocumentCodec(this.documents.createCodec());
    Array.from({ length: plan.vms }, (_, index) => index).forEach((index) => {
      const name = traces.PlanNames.formatVm(index);
      this.machines.set(name, new vms.FakeMachine({
        name,
        place: plan.places[index % plan.places.length]!.name,
        index,
        deployment: plan.name,
        seed: this.random.drawInteger(0x7fffffff),
        queue: this.queue,
        codec,
        rules,
        outbox: (machine, output) => this.handleOutput(machine, output),
      }));
    });
  }

  private createInstances(): void {
    const { places, services } = this.options.plan;
    services.forEach((service, serviceIndex) => {
      const created = Array.from({ length: service.instances }, (_, index) => new upstreams.FakeInstance({
        name: traces.PlanNames.formatInstance(service.contract.name, index),
        place: places[index % places.length]!.name,
        index: serviceIndex * 1_000 + index,
        plan: service,
        queue: this.queue,
        random: this.createRandom(),
        onRun: (instance, token) => this.recordRun(instance, token),
      }));
      this.byService.set(service.contract.name, created);
      created.forEach((instance) => this.instances.set(instance.endpoint.name, instance));
    });
  }

  private recordRun(instance: upstreams.FakeInstance, token: string): void {
    const record = this.book.getRecord(token);
    if (record === undefined) return;
    record.recordRun();
    this.notify({ type: 'run-begun', instance, record });
  }

  private listEntries(): readonly core.vms.ListEntry[] {
    const entryVms = this.listMachines().filter((machine) => machine.getState() !== 'dead').map((machine): core.vms.ListEntry => {
      const {
        name, host, port, peerPort, place,
      } = machine.identity;
      return {
        role: 'entry', name, host, port, peerPort, place, state: this.leaving.has(machine) ? 'leaving' : 'live',
      };
    });
    return [...entryVms, ...[...this.instances.values()].filter((instance) => instance.getState() !== 'dead').map((instance) => instance.buildListEntry())];
  }

  private handleOutput(machine: vms.FakeMachine, output: core.vms.VmOutput): void {
    if (this.options.digest === 'kept') this.digest.update(`${this.getNowMs()} ${machine.endpoint.name} ${JSON.stringify(output)}\n`);
    switch (output.type) {
      case 'caller-answer':
        this.callers.handleOutcome(machine, output.requestId, output.outcome);
        break;
      case 'address-answer':
        this.callers.handleAddresses(output.queryId, machine, output.answer);
        break;
      case 'status-answer':
        this.notify({ type: 'status', machine, status: output.status });
        break;
      case 'send-attempt':
        this.sendAttempt(machine, output);
        break;
      case 'cancel-attempt':
        this.connections.cancelAttempt(machine, output.attemptId);
        break;
      case 'send-probe':
        this.connections.sendProbe(machine, output);
        break;
      case 'send-peer':
        this.peers.send(machine, output);
        break;
      case 'platform-mode':
        this.platform.setMode(machine, output.mode);
        break;
      case 'document-accepted':
        this.notify({ type: 'document-accepted', machine, reference: output.reference });
        break;
      case 'log':
        // Ejections are logged, so the status is read at once after a line about upstreams.
        if (output.prefix === 'upstreams') this.requestStatus(machine);
        break;
      case 'stopped':
        this.endStopped(machine);
        break;
      default:
        break;
    }
  }

  private sendAttempt(machine: vms.FakeMachine, output: Extract<core.vms.VmOutput, { type: 'send-attempt' }>): void {
    const token = output.request.path.slice(output.request.path.lastIndexOf('/') + 1);
    const record = this.book.getRecord(token);
    const instance = this.instances.get(output.instance.name);
    if (instance !== undefined) {
      this.notify({
        type: 'attempt-sent', machine, instance, record, timeoutMs: output.timeoutMs,
      });
    }
    this.connections.sendAttempt(machine, output);
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
