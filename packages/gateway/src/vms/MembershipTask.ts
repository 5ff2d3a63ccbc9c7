import * as core from '@tamarackferry/core';

import type * as gatewayOutput from '../callers/GatewayOutput.js';
import type * as catalogMessage from '../contracts/CatalogMessage.js';
import * as frontChoice from './FrontChoice.js';
import * as peerVm from './PeerVm.js';
import type * as membershipMessage from './MembershipMessage.js';
import type * as vmHeartbeat from './VmHeartbeat.js';

// VMs that callers are sent to (fronts) send heartbeats at each tick, so that the loss of one is detected within a second.
const TICK_MS = 250;
const FRONT_TIMEOUT_MS = 1_000;

// The other VMs of a place (reserves) send heartbeats less often, since no caller depends on them. Their interval grows with the number of
// VMs in the place, so that the number of heartbeats sent by a VM does not.
const MIN_RESERVE_TICKS = 4;
const RESERVE_VMS_PER_TICK = 5;

// A reserve counts as unreachable after this many of its heartbeat intervals without a heartbeat.
const RESERVE_TIMEOUT_PERIODS = 3.5;

// Ticks between heartbeats to a VM of another place and to the seeds. An isolated VM, which knows no reachable VM of its place, sends
// heartbeats to the seeds more often.
const OTHER_PLACE_TICKS = 8;
const SEED_TICKS = 20;
const ISOLATED_SEED_TICKS = 2;

// The record of a VM is removed when its latest report is older than this.
const RECORD_LIFETIME_MS = 30_000;

// Heartbeats are sent to a VM of the same place until its latest report is older than this. VMs of other places are considered reachable
// for the same time.
const CONTACT_LIFETIME_MS = 10_000;

// Digests of other VMs in a heartbeat, and in the reply to a VM that requested one.
const HEARTBEAT_DIGESTS = 4;
const REPLY_DIGESTS = 40;

// A tick that fires late by more than this shows that the VM is slowed down. The VM is then in the state `slow` for the given number of
// ticks.
const LATE_TICK_MS = 120;
const SLOW_TICKS = 8;

/** Options of a `MembershipTask`. */
export interface MembershipTaskOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<membershipMessage.MembershipOutput | gatewayOutput.GatewayOutput>;
  readonly catalog: core.tasks.Mailbox<catalogMessage.CatalogMessage>;
  readonly self: Pick<vmHeartbeat.VmHeartbeat, 'name' | 'host' | 'place' | 'incarnation' | 'capacity'>;
  /** Hosts from which other VMs are discovered. They may be outdated or down. */
  readonly seedHosts: readonly string[];
  /** Number of fronts in each place, which are the VMs that callers are sent to. */
  readonly frontsPerPlace: number;
  /** Time for which callers may cache an answer of the directory, in milliseconds. */
  readonly validityMs: number;
}

/** Owns the records of the other VMs. Determines which VMs are reachable, which are fronts, and whether this VM reads the store itself. */
export class MembershipTask extends core.tasks.Task<membershipMessage.MembershipMessage> {
  private readonly vms = new Map<string, peerVm.PeerVm>();

  private state: vmHeartbeat.VmState = 'starting';

  // Revision of the catalog of this VM.
  private revision = 0;

  // Time at which the store or another VM last confirmed that the catalog of this VM is up to date.
  private confirmedAtMs = -Infinity;

  // Sequence number of the latest heartbeat.
  private sequence = 0;

  private ticks = 0;

  private lastTickMs = 0;

  // Number of ticks for which this VM remains in the state `slow`.
  private slowTicks = 0;

  // A watcher reads the store itself; a follower fetches catalog updates from other VMs.
  private role: 'watcher' | 'follower' | undefined;

  private timer: core.time.TimerSubscription | undefined;

  // Hosts of the fronts of the place of this VM.
  private fronts: readonly string[] = [];

  private seedHosts: readonly string[];

  private validityMs: number;

  /** @param options - Dependencies and settings of the task. */
  constructor(private readonly options: MembershipTaskOptions) {
    super(options.scheduler);
    this.seedHosts = options.seedHosts;
    this.validityMs = options.validityMs;
  }

  /** Counts the other VMs that are reachable. */
  countReachableVms(): number {
    return this.listReachable().length;
  }

  /** Gets the state of this VM. */
  getState(): vmHeartbeat.VmState {
    return this.state;
  }

  /** @internal */
  override handle(message: membershipMessage.MembershipMessage): void {
    switch (message.type) {
      case 'start':
        this.lastTickMs = this.options.timers.getNowMs();
        this.timer = this.options.timers.subscribe({
          mailbox: this, message: { type: 'tick' as const }, delayMs: TICK_MS, periodMs: TICK_MS,
        });
        this.sendHeartbeat(this.seedHosts, 'wanted');
        this.updateRole();
        break;
      case 'stop':
        this.state = 'leaving';
        this.announce();
        break;
      case 'tick':
        this.handleTick();
        break;
      case 'heartbeat-received':
        this.handleHeartbeat(message.heartbeat);
        break;
      case 'catalog-status':
        this.handleCatalog(message);
        break;
      case 'settings-changed':
        this.seedHosts = message.seedHosts;
        this.validityMs = message.validityMs;
        this.sendHeartbeat(this.seedHosts, 'wanted');
        break;
      case 'evidence-found':
        this.options.outbox.post({
          type: 'send-evidence', hosts: this.listEvidenceHosts(), notice: { from: this.options.self.name, rows: message.rows },
        });
        break;
      case 'directory-requested':
        message.replyTo.post({ hosts: this.listFronts(message.place), validityMs: this.validityMs });
        break;
      case 'readiness-requested':
        message.replyTo.post(this.state);
        break;
      // no default
    }
  }

  private handleTick(): void {
    const nowMs = this.options.timers.getNowMs();
    const lateMs = nowMs - this.lastTickMs - TICK_MS;
    this.lastTickMs = nowMs;
    this.ticks += 1;
    this.slowTicks = lateMs > LATE_TICK_MS ? SLOW_TICKS : Math.max(0, this.slowTicks - 1);
    if (this.state === 'ready' || this.state === 'slow') this.setState(this.slowTicks > 0 ? 'slow' : 'ready');
    this.pruneVms(nowMs);
    const isFront = this.fronts.includes(this.options.self.host);
    if (isFront || this.ticks % this.computeReserveTicks() === 0) this.sendHeartbeat(this.listTargets(nowMs), 'none');
    if (this.ticks % OTHER_PLACE_TICKS === 0) this.sendToOtherPlace();
    const isolated = this.listReachable().every((vm) => vm.getLastReport().place !== this.options.self.place);
    if (this.ticks % (isolated ? ISOLATED_SEED_TICKS : SEED_TICKS) === 0) this.sendHeartbeat(this.seedHosts, 'wanted');
    this.updateRole();
  }

  private handleHeartbeat(heartbeat: vmHeartbeat.VmHeartbeat): void {
    const { self } = this.options;
    if (heartbeat.name === self.name) return;
    const nowMs = this.options.timers.getNowMs();
    const existing = this.vms.get(heartbeat.name);
    const previousState = existing?.getLastReport().state;
    if (existing === undefined) {
      this.vms.set(heartbeat.name, peerVm.PeerVm.fromDigest({ ...heartbeat, ageMs: 0 }, nowMs));
      this.log('vm-found', { vm: heartbeat.name, place: heartbeat.place, state: heartbeat.state });
    } else existing.applyHeartbeat(heartbeat, nowMs);
    heartbeat.mentions.filter((digest) => digest.name !== self.name).forEach((digest) => this.applyDigest(digest, nowMs));
    if (previousState !== heartbeat.state) this.updateRole();
    this.options.catalog.post({
      type: 'peer-revision-received', host: heartbeat.host, revision: heartbeat.revision, confirmedAgeMs: heartbeat.confirmedAgeMs,
    });
    if (heartbeat.reply === 'wanted') this.sendHeartbeat([heartbeat.host], 'none', REPLY_DIGESTS);
  }

  private applyDigest(digest: vmHeartbeat.PeerDigest, nowMs: number): void {
    const existing = this.vms.get(digest.name);
    if (existing !== undefined) existing.applyDigest(digest, nowMs);
    else if (digest.ageMs < this.computeReserveTimeoutMs()) this.vms.set(digest.name, peerVm.PeerVm.fromDigest(digest, nowMs));
  }

  private handleCatalog(status: Extract<membershipMessage.MembershipMessage, { type: 'catalog-status' }>): void {
    this.revision = status.revision;
    this.confirmedAtMs = status.confirmedAtMs;
    if (this.state === 'starting' && status.configuration === 'present') {
      this.setState('ready');
      this.announce();
    } else if (status.content === 'changed' && this.role === 'watcher') this.announce();
  }

  // Sends a heartbeat to the VMs of the place immediately instead of at the next tick.
  private announce(): void {
    this.sendHeartbeat(this.listTargets(this.options.timers.getNowMs()), 'none');
  }

  private setState(state: vmHeartbeat.VmState): void {
    if (state === this.state) return;
    this.log('vm-state', { from: this.state, to: state, revision: this.revision });
    this.state = state;
  }

  private updateRole(): void {
    const { self, frontsPerPlace } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const fronts = this.rankPlace(self.place, nowMs).slice(0, frontsPerPlace).map((vm) => vm.host);
    if (fronts.join() !== this.fronts.join()) this.log('fronts-changed', { fronts: fronts.join(' ') });
    this.fronts = fronts;
    const role = fronts.includes(self.host) ? 'watcher' : 'follower';
    if (role === this.role) return;
    this.role = role;
    this.options.catalog.post({ type: 'role-chosen', role });
  }

  // Evidence is sent to the fronts of all places only, since they route nearly all requests.
  private listEvidenceHosts(): string[] {
    const { self, frontsPerPlace } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const places = new Set([self.place, ...[...this.vms.values()].map((vm) => vm.getLastReport().place)]);
    return [...places]
      .flatMap((place) => this.rankPlace(place, nowMs).slice(0, frontsPerPlace).map((vm) => vm.host))
      .filter((host) => host !== self.host);
  }

  private listFronts(place: string): string[] {
    const { self, frontsPerPlace } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const fronts = this.rankPlace(place, nowMs).slice(0, frontsPerPlace);
    if (fronts.length > 0) return fronts.map((vm) => vm.host);
    // Callers of a place without a usable VM are sent to the fronts of the place of this VM.
    const ownFronts = this.rankPlace(self.place, nowMs).slice(0, frontsPerPlace);
    return ownFronts.length > 0 ? ownFronts.map((vm) => vm.host) : [self.host];
  }

  private rankPlace(place: string, nowMs: number): frontChoice.FrontCandidate[] {
    const { self } = this.options;
    const others = [...this.vms.values()]
      .filter((vm) => vm.getLastReport().place === place && this.isReachable(vm, nowMs))
      .map((vm) => vm.getLastReport());
    return frontChoice.FrontChoice.rankCandidates(place, self.place === place ? [{ ...self, state: this.state }, ...others] : others);
  }

  private isReachable(vm: peerVm.PeerVm, nowMs: number): boolean {
    const { host, place } = vm.getLastReport();
    const timeoutMs = place !== this.options.self.place || !this.fronts.includes(host) ? this.computeReserveTimeoutMs() : FRONT_TIMEOUT_MS;
    // Reports about VMs of other places are received by gossip only, and therefore less often.
    return vm.computeReportAgeMs(nowMs) <= (place === this.options.self.place ? timeoutMs : CONTACT_LIFETIME_MS);
  }

  private computeReserveTicks(): number {
    const { place } = this.options.self;
    const placeSize = 1 + [...this.vms.values()].filter((vm) => vm.getLastReport().place === place).length;
    return Math.max(MIN_RESERVE_TICKS, Math.ceil(placeSize / RESERVE_VMS_PER_TICK));
  }

  private computeReserveTimeoutMs(): number {
    return RESERVE_TIMEOUT_PERIODS * this.computeReserveTicks() * TICK_MS;
  }

  private listReachable(): peerVm.PeerVm[] {
    const nowMs = this.options.timers.getNowMs();
    return [...this.vms.values()].filter((vm) => this.isReachable(vm, nowMs));
  }

  private listTargets(nowMs: number): string[] {
    return [...this.vms.values()]
      .filter((vm) => vm.getLastReport().place === this.options.self.place && vm.computeReportAgeMs(nowMs) <= CONTACT_LIFETIME_MS)
      .map((vm) => vm.getLastReport().host);
  }

  private sendToOtherPlace(): void {
    const others = [...this.vms.values()].filter((vm) => vm.getLastReport().place !== this.options.self.place);
    const target = this.options.random.pickItem(others);
    if (target !== undefined) this.sendHeartbeat([target.getLastReport().host], 'none');
  }

  private sendHeartbeat(hosts: readonly string[], reply: 'wanted' | 'none', digestCount = HEARTBEAT_DIGESTS): void {
    const { self, random } = this.options;
    const others = hosts.filter((host) => host !== self.host);
    if (others.length === 0) return;
    const nowMs = this.options.timers.getNowMs();
    this.sequence += 1;
    this.options.outbox.post({
      type: 'send-heartbeat',
      hosts: others,
      heartbeat: {
        ...self,
        sequence: this.sequence,
        state: this.state,
        revision: this.revision,
        confirmedAgeMs: Math.min(1e9, Math.round(nowMs - this.confirmedAtMs)),
        reply,
        mentions: random.shuffleItems(this.listReachable()).slice(0, digestCount).map((vm) => vm.buildDigest(nowMs)),
      },
    });
  }

  private pruneVms(nowMs: number): void {
    [...this.vms].filter(([, vm]) => vm.computeReportAgeMs(nowMs) > RECORD_LIFETIME_MS).forEach(([name]) => {
      this.vms.delete(name);
      this.log('vm-lost', { vm: name });
    });
  }

  private log(event: string, fields: gatewayOutput.LogFields): void {
    this.options.outbox.post({ type: 'log', event, fields });
  }
}
