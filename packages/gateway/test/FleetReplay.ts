import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';

import * as testRoute from './TestRoute.js';

// Delays in one direction.
const DATAGRAM_DELAY_MS = { 'same-place': 0.3, 'other-place': 5 } as const;
const STORE_DELAY_MS = 4;
const FETCH_MS = 30;

// VMs of a fleet start within this time, in random order.
const START_SPREAD_MS = 300;

const SEEDS = 3;
const SNAPSHOT: gateway.contracts.CatalogSnapshot = {
  revision: 5, changes: [{ type: 'configuration', revision: 4, configuration: testRoute.buildConfiguration(3, []) }],
};

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
  storeCalls: number;
  readonly lost: string[];
}

/** Runs the membership and catalog tasks of all VMs of a fleet under virtual time, with a store that has one configuration. */
export class FleetReplay {
  readonly timers = new core.time.VirtualTimerService();

  readonly vms = new Map<string, FleetVm>();

  /** Hosts that evidence was sent to. */
  readonly evidenceHosts = new Set<string>();

  private readonly random: core.randomness.RandomSource;

  /**
   * @param places - Number of places.
   * @param vmsPerPlace - VMs of each place, of which the first three have a larger capacity.
   * @param seed - Seed of the randomness.
   */
  constructor(places: number, vmsPerPlace: number, seed: number) {
    this.random = new core.randomness.SeededRandomSource(seed);
    const names = Array.from({ length: places }, (_, place) => Array.from({ length: vmsPerPlace }, (__, index) => `p${place}-${index}`)).flat();
    // Seeds are ordinary VMs, not the largest ones.
    const seedHosts = this.random.shuffleItems(names).slice(0, SEEDS);
    names.forEach((name) => this.addVm(name, seedHosts));
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
    return [...this.vms.values()].reduce((sum, vm) => sum + vm.storeCalls, 0);
  }

  private addVm(name: string, seedHosts: readonly string[]): void {
    const scheduler = new core.tasks.TaskScheduler();
    const random = new core.randomness.SeededRandomSource(this.random.drawInteger(2 ** 30));
    const outbox = { post: (output: Output) => this.handleOutput(name, output) };
    const [place, index] = name.split('-') as [string, string];
    const catalog = new gateway.contracts.CatalogTask({
      scheduler,
      timers: this.timers,
      random,
      outbox,
      requests: { post: () => undefined },
      membership: { post: (message) => this.vms.get(name)?.membership.post(message) },
      startReading: seedHosts.includes(name) ? 'at-once' : 'after-peers',
    });
    const membership = new gateway.vms.MembershipTask({
      scheduler,
      timers: { ...this.timers, getNowMs: () => this.timers.getNowMs(), subscribe: (subscribed) => this.countTicks(name, subscribed) },
      random,
      outbox,
      catalog,
      self: {
        name, host: name, place, incarnation: `${name}/1`, capacity: Number(index) < 3 ? 1.35 : 0.27,
      },
      seedHosts,
      frontsPerPlace: 2,
      validityMs: 1_200,
    });
    this.vms.set(name, {
      name, place, membership, catalog, startedAtMs: Infinity, readyAtMs: Infinity, received: 0, ticks: 0, storeCalls: 0, lost: [],
    });
  }

  private startVm(vm: FleetVm): void {
    this.vms.set(vm.name, Object.assign(vm, { startedAtMs: this.timers.getNowMs() }));
    vm.membership.post({ type: 'start' });
    vm.catalog.post({ type: 'start' });
  }

  private countTicks<Message>(name: string, subscribed: core.time.TimerOptions<Message>): core.time.TimerSubscription {
    this.vms.get(name)!.ticks += 1;
    return this.timers.subscribe(subscribed);
  }

  private handleOutput(name: string, output: Output): void {
    const vm = this.vms.get(name)!;
    switch (output.type) {
      case 'send-heartbeat':
        output.hosts.forEach((host) => this.sendHeartbeat(vm, host, output.heartbeat));
        break;
      case 'send-evidence':
        output.hosts.forEach((host) => this.evidenceHosts.add(host));
        break;
      case 'read-snapshot':
        // The configuration and eight pages of instances.
        vm.storeCalls += 9;
        this.schedule(9 * 2 * STORE_DELAY_MS, () => vm.catalog.post({ type: 'snapshot-read', snapshot: SNAPSHOT }));
        break;
      case 'watch-changes':
        vm.storeCalls += 1;
        this.schedule(output.waitMs, () => vm.catalog.post({ type: 'changes-read', changes: [], revision: SNAPSHOT.revision }));
        break;
      case 'fetch-update':
        this.schedule(FETCH_MS, () => this.vms.get(output.host)!.catalog.post({
          type: 'update-requested',
          afterRevision: output.afterRevision,
          replyTo: { post: (update) => vm.catalog.post({ type: 'peer-update', host: output.host, update }) },
        }));
        break;
      case 'log':
        if (output.event === 'vm-lost') vm.lost.push(String(output.fields['peer']));
        if (output.event === 'vm-state' && output.fields['to'] === 'ready') vm.readyAtMs = Math.min(vm.readyAtMs, this.timers.getNowMs());
        break;
      default:
        break;
    }
  }

  private sendHeartbeat(from: FleetVm, host: string, heartbeat: gateway.vms.VmHeartbeat): void {
    const receiver = this.vms.get(host);
    if (receiver === undefined) return;
    const delayMs = DATAGRAM_DELAY_MS[receiver.place === from.place ? 'same-place' : 'other-place'];
    this.schedule(delayMs, () => {
      if (receiver.startedAtMs > this.timers.getNowMs()) return;
      receiver.received += 1;
      receiver.membership.post({ type: 'heartbeat-received', heartbeat });
    });
  }

  private schedule(delayMs: number, run: () => void): void {
    this.timers.subscribe({ mailbox: { post: run }, message: undefined, delayMs });
  }
}

type Output = gateway.contracts.CatalogOutput | gateway.vms.MembershipOutput | gateway.callers.GatewayOutput;
