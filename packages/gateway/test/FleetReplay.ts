import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';

import * as simulatedStore from './SimulatedStore.js';
import * as testRoute from './TestRoute.js';

// Delays in one direction.
const DATAGRAM_DELAY_MS = { 'same-place': 0.3, 'other-place': 5 } as const;
const FETCH_MS = 30;

// VMs of a fleet start within this time, in random order.
const START_SPREAD_MS = 300;

const SEEDS = 3;

/** Bounds of the users' sites. */
export const BOUNDS = { stableWindowMs: 3_000, configApplyMs: 2_000, drainMs: 2_000 } as const;
const FIRST_VERSION = 3;

/** What one VM of a `FleetReplay` did. */
export interface FleetVm {
  readonly name: string;
  readonly place: string;
  readonly membership: gateway.vms.MembershipTask;
  readonly catalog: gateway.contracts.CatalogTask;
  startedAtMs: number;
  readyAtMs: number;
  /** Datagrams received, timer messages and calls to the store. */
  received: number;
  ticks: number;
  readonly lost: string[];
  /** Hosts that callers of its place are sent to, as it last logged, and the times at which it logged them. */
  fronts: readonly string[];
  readonly frontChangesMs: number[];
  readonly state: 'running' | 'down';
  /** Version of the configuration in force, and ids of the instances in use. */
  version: number;
  instances: readonly string[];
}

/** Runs the membership and catalog tasks of all VMs of a fleet under virtual time, with a store that has a configuration. */
export class FleetReplay {
  readonly timers = new core.time.VirtualTimerService();

  readonly vms = new Map<string, FleetVm>();

  readonly store = new simulatedStore.SimulatedStore(this.timers);

  /** VMs that are cut off from all others. */
  readonly cut = new Set<string>();

  /** VMs that cannot read the updates of the others. */
  readonly unreadable = new Set<string>();

  /** Hosts that evidence was sent to. */
  readonly evidenceHosts = new Set<string>();

  private readonly random: core.randomness.RandomSource;

  private readonly seedHosts: readonly string[];

  /**
   * @param places - Number of places.
   * @param vmsPerPlace - VMs of each place, of which the first three have a larger capacity.
   * @param seed - Seed of the randomness.
   * @param getCapacity - Gets the capacity of a VM, in cores, by its index in its place.
   */
  constructor(places: number, vmsPerPlace: number, seed: number, readonly getCapacity = FleetReplay.getUsualCapacity) {
    this.random = new core.randomness.SeededRandomSource(seed);
    const names = Array.from({ length: places }, (_, place) => Array.from({ length: vmsPerPlace }, (__, index) => `p${place}-${index}`)).flat();
    // Seeds are ordinary VMs, not the largest ones.
    this.seedHosts = this.random.shuffleItems(names).slice(0, SEEDS);
    this.publishConfiguration(FIRST_VERSION);
    names.forEach((name) => this.addVm(name));
    names.forEach((name) => this.schedule(this.random.drawFraction() * START_SPREAD_MS, () => this.startVm(this.vms.get(name)!)));
  }

  /**
   * Lists the hosts that a VM tells callers to use.
   * @param vm - VM that is asked.
   */
  listFronts(vm: FleetVm): readonly string[] {
    const answers: gateway.vms.DirectoryAnswer[] = [];
    vm.membership.post({ type: 'directory-requested', place: vm.place, replyTo: { post: (answer) => answers.push(answer) } });
    return answers[0]?.hosts ?? [];
  }

  /** Lists the VMs that no caller is sent to. */
  listReserves(): FleetVm[] {
    return [...this.vms.values()].filter((vm) => !this.listFronts(vm).includes(vm.name));
  }

  /** Counts the calls of all VMs to the store. */
  countStoreCalls(): number {
    return [...this.store.calls.values()].reduce((sum, calls) => sum + calls, 0);
  }

  /**
   * Publishes a configuration. Returns the time of the acknowledgement.
   * @param version - Version.
   */
  publishConfiguration(version: number): number {
    return this.store.write((revision) => ({ type: 'configuration', revision, configuration: testRoute.buildConfiguration(version, []) }));
  }

  /**
   * Publishes an instance. Returns the time of the acknowledgement.
   * @param id - Id of the instance, which ends with a number.
   */
  publishInstance(id: string): number {
    const record = testRoute.buildInstance(id, { port: 8_000 + Number(/\d+$/.exec(id)?.[0]) });
    return this.store.write((revision) => ({
      type: 'instance', id, revision, record,
    }));
  }

  /**
   * Removes the entry of an instance. Returns the time of the acknowledgement.
   * @param id - Id of the instance.
   */
  removeInstance(id: string): number {
    return this.store.write((revision) => ({ type: 'instance-removed', id, revision }));
  }

  /**
   * Kills the process of a VM and starts it again later.
   * @param vm - VM.
   * @param downMs - Time until the next start, in milliseconds.
   */
  killVm(vm: FleetVm, downMs: number): void {
    Object.assign(vm, { state: 'down' });
    this.schedule(downMs, () => {
      this.addVm(vm.name);
      this.startVm(this.vms.get(vm.name)!);
    });
  }

  private static getUsualCapacity(index: number): number {
    return index < 3 ? 1.35 : 0.27;
  }

  private addVm(name: string): void {
    const [place, index] = name.split('-') as [string, string];
    // The tasks are added below, since they post to this record.
    const vm = {
      name, place, startedAtMs: Infinity, readyAtMs: Infinity, received: 0, ticks: 0, lost: [], fronts: [], frontChangesMs: [], state: 'running', version: 0, instances: [],
    } as unknown as FleetVm;
    const scheduler = new core.tasks.TaskScheduler();
    const random = new core.randomness.SeededRandomSource(this.random.drawInteger(2 ** 30));
    const outbox = { post: (output: Output) => this.handleOutput(vm, output) };
    const catalog = new gateway.contracts.CatalogTask({
      scheduler,
      timers: this.timers,
      random,
      outbox,
      requests: { post: (message) => FleetReplay.recordMessage(vm, message) },
      membership: { post: (message) => vm.membership.post(message) },
      startReading: this.seedHosts.includes(name) ? 'at-once' : 'after-peers',
      bounds: BOUNDS,
    });
    const membership = new gateway.vms.MembershipTask({
      scheduler,
      timers: { ...this.timers, getNowMs: () => this.timers.getNowMs(), subscribe: (subscribed) => this.countTicks(vm, subscribed) },
      random,
      outbox,
      catalog,
      self: {
        name, host: name, place, incarnation: `${name}/${this.timers.getNowMs()}`, capacity: this.getCapacity(Number(index)),
      },
      seedHosts: this.seedHosts,
      frontsPerPlace: 2,
      validityMs: 1_200,
      budgetWindowMs: 10_000,
    });
    Object.assign(vm, { catalog, membership });
    this.vms.set(name, vm);
  }

  private static recordMessage(vm: FleetVm, message: gateway.callers.RoutedRequestMessage): void {
    if (message.type === 'configuration-changed') Object.assign(vm, { version: message.configuration.version });
    if (message.type === 'instances-changed') Object.assign(vm, { instances: message.records.map((record) => record.id) });
  }

  private startVm(vm: FleetVm): void {
    Object.assign(vm, { startedAtMs: this.timers.getNowMs() });
    vm.membership.post({ type: 'start' });
    vm.catalog.post({ type: 'start' });
  }

  private countTicks<Message>(vm: FleetVm, subscribed: core.time.TimerOptions<Message>): core.time.TimerSubscription {
    Object.assign(vm, { ticks: vm.ticks + 1 });
    return this.timers.subscribe(subscribed);
  }

  private handleOutput(vm: FleetVm, output: Output): void {
    // The process of the VM was killed.
    if (vm.state === 'down') return;
    switch (output.type) {
      case 'send-heartbeat':
        output.hosts.forEach((host) => this.sendHeartbeat(vm, host, output.heartbeat));
        break;
      case 'send-evidence':
        output.hosts.forEach((host) => this.evidenceHosts.add(host));
        break;
      case 'read-snapshot':
      case 'watch-changes':
        this.store.receiveCall(vm.name, output, (message) => vm.catalog.post(message));
        break;
      case 'fetch-update':
        this.schedule(FETCH_MS, () => this.fetchUpdate(vm, output));
        break;
      case 'log':
        if (output.event === 'fronts-changed') {
          Object.assign(vm, { fronts: String(output.fields['fronts']).split(' ') });
          vm.frontChangesMs.push(this.timers.getNowMs());
        }
        if (output.event === 'vm-lost') vm.lost.push(String(output.fields['peer']));
        if (output.event === 'vm-state' && output.fields['to'] === 'ready') {
          Object.assign(vm, { readyAtMs: Math.min(vm.readyAtMs, this.timers.getNowMs()) });
        }
        break;
      default:
        break;
    }
  }

  private fetchUpdate(vm: FleetVm, { host, afterRevision }: Extract<Output, { type: 'fetch-update' }>): void {
    const source = this.vms.get(host)!;
    if (source.state === 'down' || this.isCut(vm, source)) {
      vm.catalog.post({ type: 'peer-unreached', host });
      return;
    }
    if (this.unreadable.has(vm.name)) {
      vm.catalog.post({ type: 'peer-unreadable', host });
      return;
    }
    source.catalog.post({
      type: 'update-requested', afterRevision, replyTo: { post: (update) => vm.catalog.post({ type: 'peer-update', host, update }) },
    });
  }

  private sendHeartbeat(from: FleetVm, host: string, heartbeat: gateway.vms.VmHeartbeat): void {
    const receiver = this.vms.get(host);
    if (receiver === undefined || receiver.state === 'down' || this.isCut(from, receiver)) return;
    const delayMs = DATAGRAM_DELAY_MS[receiver.place === from.place ? 'same-place' : 'other-place'];
    this.schedule(delayMs, () => {
      if (receiver.state === 'down' || receiver.startedAtMs > this.timers.getNowMs()) return;
      receiver.received += 1;
      receiver.membership.post({ type: 'heartbeat-received', heartbeat });
    });
  }

  private isCut(from: FleetVm, to: FleetVm): boolean {
    return this.cut.has(from.name) || this.cut.has(to.name);
  }

  private schedule(delayMs: number, run: () => void): void {
    this.timers.subscribe({ mailbox: { post: run }, message: undefined, delayMs });
  }
}

type Output = gateway.contracts.CatalogOutput
| gateway.vms.MembershipOutput | gateway.vms.BudgetShareChange | gateway.callers.GatewayOutput;
