import * as core from '@tamarackferry/core';

import type * as gatewayOutput from '../callers/GatewayOutput.js';
import type * as catalogMessage from '../contracts/CatalogMessage.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import * as evidenceBatch from './EvidenceBatch.js';
import * as frontChoice from './FrontChoice.js';
import * as peerVm from './PeerVm.js';
import type * as membershipMessage from './MembershipMessage.js';
import type * as vmHeartbeat from './VmHeartbeat.js';

// VMs that callers are sent to (fronts) send heartbeats to each other and to the VMs that would replace them (standbys) at each tick, so
// that the loss of one is detected within a second.
const TICK_MS = 250;
const FRONT_TIMEOUT_MS = 1_000;
const STANDBYS = 2;

// Ticks between heartbeats of a front to the other VMs of its place (reserves), and of a standby. Reserves only answer directory requests,
// so they wake up as rarely, and a front counts as lost for them after two missing heartbeats.
const FRONT_TO_RESERVE_TICKS = 4;
const STANDBY_TICKS = 2;
const RESERVE_TICK_SPAN = 4;
const FRONT_TIMEOUT_FOR_RESERVES_MS = 2_600;

// Reserves send heartbeats less often, since no caller depends on them: to the fronts and standbys, whose digests spread the news, and to
// one other VM. Their interval grows with the number of VMs in the place, so that the number of heartbeats received by a front does not.
const MIN_RESERVE_TICKS = 4;
const RESERVE_VMS_PER_TICK = 5;

// A reserve counts as unreachable after this many of its heartbeat intervals, and the time that digests take, without news of it.
const RESERVE_TIMEOUT_PERIODS = 3.5;
const DIGEST_DELAY_MS = 8_000;

// Ticks between heartbeats of a front to the fronts of other places, of another VM to a VM of another place, and to a seed. An isolated VM,
// which knows no reachable VM of its place, sends heartbeats to all seeds more often.
const OTHER_PLACE_TICKS = 8;
const FRONT_SEED_TICKS = 20;
const SEED_TICKS = 240;
const ISOLATED_SEED_TICKS = 2;

// The record of a VM is removed when its latest report is older than this, or than twice the time-out of reserves.
const RECORD_LIFETIME_MS = 30_000;

// Heartbeats are sent to a VM of the same place until its latest report is older than this. VMs of other places are considered reachable
// for the same time.
const CONTACT_LIFETIME_MS = 10_000;

// Digests of other VMs in a heartbeat, which take turns, and in the reply to a VM that requested one. In a large place there are more, so
// that each reserve is mentioned well before it counts as unreachable.
const MIN_HEARTBEAT_DIGESTS = 4;
const MAX_HEARTBEAT_DIGESTS = 16;
const VMS_PER_DIGEST = 5;
const REPLY_DIGESTS = 40;

// A tick that fires late by more than this shows that the VM is slowed down. The VM is then in the state `slow` for the given number of
// ticks.
const LATE_TICK_MS = 120;
const SLOW_TICKS = 8;

// For this time after its start a VM does not know yet who the fronts are. If many VMs start together, callers reach most of them, so that
// each tells all VMs that it knows about failing instances, up to this number, and counts VMs that are still starting as fronts.
const START_SPAN_MS = 3_000;
const MAX_START_EVIDENCE_HOSTS = 64;

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

  // Number of VMs of the place, including this one, at the latest tick.
  private placeSize = 1;

  private state: vmHeartbeat.VmState = 'starting';

  // Revision of the catalog of this VM.
  private revision = 0;

  // Time at which the store or another VM last confirmed that the catalog of this VM is up to date.
  private confirmedAtMs = -Infinity;

  // Sequence number of the latest heartbeat.
  private sequence = 0;

  private ticks = 0;

  private startedAtMs = 0;

  private lastTickMs = 0;

  // Number of ticks until the next timer message: a reserve is woken up for several ticks at once.
  private tickSpan = 1;

  // Position in the list of VMs at which the digests of the next heartbeat begin.
  private nextDigest = 0;

  // Number of ticks for which this VM remains in the state `slow`.
  private slowTicks = 0;

  // A watcher reads the store itself; a follower fetches catalog updates from other VMs.
  private role: 'watcher' | 'follower' | undefined;

  private timer: core.time.TimerSubscription | undefined;

  // Hosts of the fronts of the place of this VM, and of the VMs that would replace them.
  private fronts: readonly string[] = [];

  private standbys: readonly string[] = [];

  // Hosts of the fronts of the other places.
  private otherFronts: readonly string[] = [];

  // Evidence for the fronts of other places.
  private readonly batch = new evidenceBatch.EvidenceBatch();

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
        this.startedAtMs = this.options.timers.getNowMs();
        this.lastTickMs = this.startedAtMs;
        this.startTimer();
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
        this.sendEvidence(message.rows);
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
    const lateMs = nowMs - this.lastTickMs - this.tickSpan * TICK_MS;
    this.lastTickMs = nowMs;
    this.ticks += this.tickSpan;
    this.slowTicks = lateMs > LATE_TICK_MS ? SLOW_TICKS : Math.max(0, this.slowTicks - this.tickSpan);
    if (this.state === 'ready' || this.state === 'slow') this.setState(this.slowTicks > 0 ? 'slow' : 'ready');
    this.pruneVms(nowMs);
    this.updateRole();
    this.sendPeriodicHeartbeats(nowMs);
    this.sendRows(this.otherFronts, this.batch.takeDue(nowMs));
    this.startTimer();
  }

  private startTimer(): void {
    this.tickSpan = this.getStanding() === 'reserve' ? RESERVE_TICK_SPAN : 1;
    this.timer?.cancel();
    this.timer = this.options.timers.subscribe({ mailbox: this, message: { type: 'tick' as const }, delayMs: this.tickSpan * TICK_MS });
  }

  // A VM that knows no front may become one at any time.
  private getStanding(): 'front' | 'standby' | 'reserve' {
    const { host } = this.options.self;
    if (this.fronts.includes(host)) return 'front';
    return this.fronts.length === 0 || this.standbys.includes(host) ? 'standby' : 'reserve';
  }

  private sendPeriodicHeartbeats(nowMs: number): void {
    const { random } = this.options;
    const standing = this.getStanding();
    const closest = [...this.fronts, ...this.standbys];
    if (standing === 'front' && this.isDue(FRONT_TO_RESERVE_TICKS)) this.sendHeartbeat(this.listTargets(nowMs), 'none');
    // Without digests: the closest VMs hear from all others themselves.
    else if (standing === 'front' || (standing === 'standby' && this.isDue(STANDBY_TICKS))) this.sendHeartbeat(closest, 'none', []);
    else if (standing === 'reserve' && this.isDue(this.computeReserveTicks())) {
      const other = random.pickItem(this.listTargets(nowMs));
      this.sendHeartbeat([...new Set([...closest, ...other === undefined ? [] : [other]])], 'none', []);
    }
    if (this.isDue(OTHER_PLACE_TICKS)) this.sendToOtherPlaces(standing);
    const isolated = this.listReachable().every((vm) => vm.getLastReport().place !== this.options.self.place);
    if (isolated && this.isDue(ISOLATED_SEED_TICKS)) this.sendHeartbeat(this.seedHosts, 'wanted');
    else if (!isolated && this.isDue(standing === 'front' ? FRONT_SEED_TICKS : SEED_TICKS)) {
      const seed = random.pickItem(this.seedHosts);
      if (seed !== undefined) this.sendHeartbeat([seed], 'wanted');
    }
  }

  // Whether a period has ended since the previous tick.
  private isDue(periodTicks: number): boolean {
    return Math.floor(this.ticks / periodTicks) !== Math.floor((this.ticks - this.tickSpan) / periodTicks);
  }

  private handleHeartbeat(heartbeat: vmHeartbeat.VmHeartbeat): void {
    const { self } = this.options;
    if (heartbeat.name === self.name) return;
    const nowMs = this.options.timers.getNowMs();
    const existing = this.vms.get(heartbeat.name);
    const previousState = existing?.getLastReport().state;
    if (existing === undefined) {
      this.vms.set(heartbeat.name, peerVm.PeerVm.fromDigest({ ...heartbeat, ageMs: 0 }, nowMs));
      if (heartbeat.place === self.place) this.log('vm-found', { peer: heartbeat.name, place: heartbeat.place, state: heartbeat.state });
    } else existing.applyHeartbeat(heartbeat, nowMs);
    heartbeat.mentions.filter((digest) => digest.name !== self.name).forEach((digest) => this.applyDigest(digest, nowMs));
    if (previousState !== heartbeat.state) this.updateRole();
    this.options.catalog.post({
      type: 'peer-revision-received',
      host: heartbeat.host,
      distance: heartbeat.place === self.place ? 'same-place' : 'other-place',
      revision: heartbeat.revision,
      confirmedAgeMs: heartbeat.confirmedAgeMs,
    });
    if (heartbeat.reply === 'wanted') this.sendHeartbeat([heartbeat.host], 'none', this.listForNewcomer(heartbeat.place));
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

  // Sends a heartbeat to the VMs of the place immediately instead of at the next tick. Reserves need not know of each other at once, unless
  // one of them leaves.
  private announce(): void {
    const nowMs = this.options.timers.getNowMs();
    const isReserve = this.getStanding() === 'reserve' && this.state !== 'leaving';
    this.sendHeartbeat(isReserve ? [...this.fronts, ...this.standbys] : this.listTargets(nowMs), 'none');
  }

  private setState(state: vmHeartbeat.VmState): void {
    if (state === this.state) return;
    this.log('vm-state', { from: this.state, to: state, revision: this.revision });
    this.state = state;
  }

  private updateRole(): void {
    const { self, frontsPerPlace } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const ranked = this.rankPlace(self.place, nowMs).map((vm) => vm.host);
    const fronts = ranked.slice(0, frontsPerPlace);
    if (fronts.join() !== this.fronts.join()) this.log('fronts-changed', { fronts: fronts.join(' ') });
    this.fronts = fronts;
    this.standbys = ranked.slice(frontsPerPlace, frontsPerPlace + STANDBYS);
    const places = new Set([...this.vms.values()].map((vm) => vm.getLastReport().place).filter((place) => place !== self.place));
    this.otherFronts = [...places].flatMap((place) => this.rankPlace(place, nowMs).slice(0, frontsPerPlace).map((vm) => vm.host));
    // VMs that are starting will serve soon, so that the first ones that are ready do not all watch the store.
    const watchers = this.rankPlace(self.place, nowMs, 'starting').slice(0, frontsPerPlace).map((vm) => vm.host);
    const role = this.state !== 'starting' && watchers.includes(self.host) ? 'watcher' : 'follower';
    if (role === this.role) return;
    this.role = role;
    this.options.catalog.post({ type: 'role-chosen', role });
  }

  // Evidence is sent to the fronts only, since they route nearly all requests.
  private sendEvidence(rows: readonly instanceEvidence.InstanceEvidence[]): void {
    const nowMs = this.options.timers.getNowMs();
    this.sendRows(this.fronts, rows);
    this.sendRows(this.otherFronts, this.batch.add(rows, nowMs));
    if (!this.isStarting(nowMs)) return;
    const urgent = rows.filter((row) => evidenceBatch.EvidenceBatch.isUrgent(row));
    const hosts = this.listReachable().map((vm) => vm.getLastReport().host)
      .filter((host) => !this.fronts.includes(host) && !this.otherFronts.includes(host));
    this.sendRows(this.options.random.shuffleItems(hosts).slice(0, MAX_START_EVIDENCE_HOSTS), urgent);
  }

  private isStarting(nowMs: number): boolean {
    return nowMs - this.startedAtMs < START_SPAN_MS;
  }

  private sendRows(hosts: readonly string[], rows: readonly instanceEvidence.InstanceEvidence[]): void {
    const { self, outbox } = this.options;
    const others = hosts.filter((host) => host !== self.host);
    if (rows.length > 0 && others.length > 0) outbox.post({ type: 'send-evidence', hosts: others, notice: { from: self.name, rows } });
  }

  private listFronts(place: string): string[] {
    const { self, frontsPerPlace } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const leastState = this.isStarting(nowMs) ? 'starting' : 'slow';
    const fronts = this.rankPlace(place, nowMs, leastState).slice(0, frontsPerPlace);
    if (fronts.length > 0) return fronts.map((vm) => vm.host);
    // Callers of a place without a usable VM are sent to the fronts of the place of this VM.
    const ownFronts = this.rankPlace(self.place, nowMs, leastState).slice(0, frontsPerPlace);
    return ownFronts.length > 0 ? ownFronts.map((vm) => vm.host) : [self.host];
  }

  private rankPlace(place: string, nowMs: number, leastState: 'slow' | 'starting' = 'slow'): frontChoice.FrontCandidate[] {
    const { self } = this.options;
    const others = [...this.vms.values()]
      .filter((vm) => vm.getLastReport().place === place && this.isReachable(vm, nowMs))
      .map((vm) => vm.getLastReport());
    const candidates = self.place === place ? [{ ...self, state: this.state }, ...others] : others;
    return frontChoice.FrontChoice.rankCandidates(place, candidates, leastState);
  }

  private isReachable(vm: peerVm.PeerVm, nowMs: number): boolean {
    const { host, place } = vm.getLastReport();
    const ageMs = vm.computeReportAgeMs(nowMs);
    // Reports about VMs of other places are received by gossip only, and therefore less often.
    if (place !== this.options.self.place) return ageMs <= this.computeContactLifetimeMs();
    if (!this.fronts.includes(host)) return ageMs <= this.computeReserveTimeoutMs();
    return ageMs <= (this.getStanding() === 'reserve' ? FRONT_TIMEOUT_FOR_RESERVES_MS : FRONT_TIMEOUT_MS);
  }

  private computeReserveTicks(): number {
    return Math.max(MIN_RESERVE_TICKS, Math.ceil(this.placeSize / RESERVE_VMS_PER_TICK));
  }

  private computeReserveTimeoutMs(): number {
    return DIGEST_DELAY_MS + RESERVE_TIMEOUT_PERIODS * this.computeReserveTicks() * TICK_MS;
  }

  private computeContactLifetimeMs(): number {
    return Math.max(CONTACT_LIFETIME_MS + DIGEST_DELAY_MS, this.computeReserveTimeoutMs());
  }

  private listReachable(): peerVm.PeerVm[] {
    const nowMs = this.options.timers.getNowMs();
    return [...this.vms.values()].filter((vm) => this.isReachable(vm, nowMs));
  }

  private listTargets(nowMs: number): string[] {
    return [...this.vms.values()]
      .filter((vm) => vm.getLastReport().place === this.options.self.place)
      .filter((vm) => vm.computeReportAgeMs(nowMs) <= this.computeContactLifetimeMs())
      .map((vm) => vm.getLastReport().host);
  }

  private sendToOtherPlaces(standing: 'front' | 'standby' | 'reserve'): void {
    if (standing === 'front' && this.otherFronts.length > 0) {
      this.sendHeartbeat(this.otherFronts, 'none', this.listClosest());
      return;
    }
    // The fronts tell their place about the others, so that a reserve needs no contact of its own.
    if (standing === 'reserve') return;
    const others = [...this.vms.values()].filter((vm) => vm.getLastReport().place !== this.options.self.place);
    const target = this.options.random.pickItem(others);
    if (target !== undefined) this.sendHeartbeat([target.getLastReport().host], 'none', this.listClosest());
  }

  private sendHeartbeat(hosts: readonly string[], reply: 'wanted' | 'none', mentioned = this.takeDigests()): void {
    const { self } = this.options;
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
        mentions: mentioned.map((vm) => vm.buildDigest(nowMs)),
      },
    });
  }

  // Takes the next VMs, in turn, of those that the VMs of this place should know: all of the place, and the fronts of the others.
  private takeDigests(): peerVm.PeerVm[] {
    const { place } = this.options.self;
    const known = this.listReachable()
      .filter((vm) => vm.getLastReport().place === place || this.otherFronts.includes(vm.getLastReport().host));
    const count = Math.min(MAX_HEARTBEAT_DIGESTS, Math.max(MIN_HEARTBEAT_DIGESTS, Math.ceil(known.length / VMS_PER_DIGEST)));
    const first = this.nextDigest % Math.max(1, known.length);
    this.nextDigest = first + count;
    return [...known.slice(first), ...known.slice(0, first)].slice(0, count);
  }

  // Other places need to know the fronts of this place, and the VMs that would replace them.
  private listClosest(): peerVm.PeerVm[] {
    const closest = [...this.fronts, ...this.standbys];
    return this.listReachable().filter((vm) => closest.includes(vm.getLastReport().host));
  }

  // A VM that discovers the fleet needs to know its own place first.
  private listForNewcomer(place: string): peerVm.PeerVm[] {
    const reachable = this.options.random.shuffleItems(this.listReachable());
    const isOfPlace = (vm: peerVm.PeerVm): boolean => vm.getLastReport().place === place;
    return [...reachable.filter(isOfPlace), ...reachable.filter((vm) => !isOfPlace(vm))].slice(0, REPLY_DIGESTS);
  }

  private pruneVms(nowMs: number): void {
    const lifetimeMs = Math.max(RECORD_LIFETIME_MS, 2 * this.computeReserveTimeoutMs());
    this.vms.forEach((vm, name) => {
      if (vm.computeReportAgeMs(nowMs) <= lifetimeMs) return;
      this.vms.delete(name);
      // Of the other places, this VM only needs to know the fronts; it forgets the VMs that it met while it discovered the fleet.
      if (vm.getLastReport().place === this.options.self.place) this.log('vm-lost', { peer: name });
    });
    const { place } = this.options.self;
    this.placeSize = 1 + [...this.vms.values()].filter((vm) => vm.getLastReport().place === place).length;
  }

  private log(event: string, fields: gatewayOutput.LogFields): void {
    this.options.outbox.post({ type: 'log', event, fields });
  }
}
