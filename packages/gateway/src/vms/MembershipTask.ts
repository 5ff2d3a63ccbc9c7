import * as core from '@tamarackferry/core';

import type * as serviceOutcomes from '../callers/ServiceOutcomes.js';
import type * as gatewayOutput from '../callers/GatewayOutput.js';
import type * as catalogMessage from '../contracts/CatalogMessage.js';
import * as storeContact from '../contracts/StoreContact.js';
import type * as storeOutage from '../contracts/StoreOutage.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import * as demandHold from './DemandHold.js';
import * as evidenceBatch from './EvidenceBatch.js';
import * as fleetView from './FleetView.js';
import * as frontBudget from './FrontBudget.js';
import * as frontChoice from './FrontChoice.js';
import type * as membershipMessage from './MembershipMessage.js';
import * as ownLoad from './OwnLoad.js';
import * as slowState from './SlowState.js';
import type * as vmHeartbeat from './VmHeartbeat.js';
import type * as vmLoad from './VmLoad.js';

// VMs that callers are sent to (fronts) send heartbeats to each other and to the VMs that would replace them (standbys) at each tick, so
// that the loss of one is detected within a second.
const TICK_MS = 250;

// Ticks between heartbeats of a front to the other VMs of its place (reserves), and of a standby. Reserves only answer directory requests,
// so they wake up as rarely. They send heartbeats to the fronts and standbys, whose digests spread the news, and to one other VM.
const FRONT_TO_RESERVE_TICKS = 4;
const STANDBY_TICKS = 2;
const RESERVE_TICK_SPAN = 4;

// Ticks between heartbeats of a front to the fronts of other places, of another VM to a VM of another place, and to a seed. An isolated VM,
// which knows no reachable VM of its place, sends heartbeats to all seeds more often.
const OTHER_PLACE_TICKS = 8;
const FRONT_SEED_TICKS = 20;
const SEED_TICKS = 240;
const ISOLATED_SEED_TICKS = 2;

// A tick that fires late by more than this shows that the VM is slowed down.
const LATE_TICK_MS = 120;

// A demand counts for this many times the validity of directory answers: callers keep an answer three times as long as it is valid, and
// the number of fronts shrinks after four such answers.
const DEMAND_VALIDITIES = 12;

// For this time after its start a VM does not know yet who the fronts are. If many VMs start together, callers reach most of them, so that
// each tells all VMs that it knows about failing instances, up to this number, and counts VMs that are still starting as fronts.
const START_SPAN_MS = 3_000;
const MAX_START_EVIDENCE_HOSTS = 64;

/** Options of a `MembershipTask`. */
export interface MembershipTaskOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<
  membershipMessage.MembershipOutput | membershipMessage.BudgetShareChange | gatewayOutput.GatewayOutput
  >;
  readonly catalog: core.tasks.Mailbox<catalogMessage.CatalogMessage>;
  readonly self: Pick<vmHeartbeat.VmHeartbeat, 'name' | 'host' | 'place' | 'incarnation' | 'capacity' | 'linkCapacityMbps'>;
  /** Hosts from which other VMs are discovered. They may be outdated or down. */
  readonly seedHosts: readonly string[];
  /** Number of fronts in each place, which are the VMs that callers are sent to, without load. */
  readonly frontsPerPlace: number;
  /** Time for which callers may cache an answer of the directory, in milliseconds. */
  readonly validityMs: number;
  /** Length of the window of the retry budget, in milliseconds. */
  readonly budgetWindowMs: number;
}

/** Owns the records of the other VMs. Determines which VMs are reachable, which are fronts, and whether this VM reads the store itself. */
export class MembershipTask extends core.tasks.Task<membershipMessage.MembershipMessage> {
  private readonly fleet: fleetView.FleetView;

  private state: vmHeartbeat.VmState = 'starting';

  // Revision of the catalog of this VM.
  private revision = 0;

  private store: storeOutage.StoreStatus = { confirmedAtMs: -Infinity, confirmedSinceMs: -Infinity, outage: undefined };

  // Sequence number of the latest heartbeat.
  private sequence = 0;

  private ticks = 0;

  private startedAtMs = 0;

  private lastTickMs = 0;

  // Number of ticks until the next timer message: a reserve is woken up for several ticks at once.
  private tickSpan = 1;

  private readonly slowState = new slowState.SlowState();

  // Undefined until the start.
  private ownLoad: ownLoad.OwnLoad | undefined;

  // Demand of the callers of the place, as observed by this VM.
  private readonly demandHold: demandHold.DemandHold;

  private readonly budget: frontBudget.FrontBudget;

  private budgetDivisor: number;

  // A watcher reads the store itself; a follower fetches catalog updates from other VMs.
  private role: 'watcher' | 'follower' | undefined;

  // Whether the directory returns this VM, as last told to the task that owns the requests.
  private listed: 'listed' | 'unlisted' | undefined;

  private timer: core.time.TimerSubscription | undefined;

  // Evidence for the fronts of other places.
  private readonly batch = new evidenceBatch.EvidenceBatch();

  // Latest outcomes of the requests of this VM.
  private outcomes: readonly serviceOutcomes.ServiceOutcome[] = [];

  private seedHosts: readonly string[];

  private validityMs: number;

  /** @param options - Dependencies and settings of the task. */
  constructor(private readonly options: MembershipTaskOptions) {
    super(options.scheduler);
    const demandSpanMs = DEMAND_VALIDITIES * options.validityMs;
    this.fleet = new fleetView.FleetView({ ...options, demandSpanMs });
    this.demandHold = new demandHold.DemandHold(demandSpanMs);
    const extraFronts = frontChoice.MAX_FRONTS - options.frontsPerPlace;
    this.budget = new frontBudget.FrontBudget(options.frontsPerPlace, extraFronts, options.budgetWindowMs);
    this.budgetDivisor = options.frontsPerPlace;
    this.seedHosts = options.seedHosts;
    this.validityMs = options.validityMs;
  }

  /** Counts the other VMs that are reachable. */
  countReachableVms(): number {
    return this.fleet.listReachable(this.options.timers.getNowMs()).length;
  }

  /** Counts the VMs of the place that callers are sent to. */
  countFronts(): number {
    return this.fleet.getFronts().length;
  }

  /** Gets the work that the callers of the place offer, for which the fronts were chosen. */
  getDemand(): vmLoad.PlaceDemand {
    return this.fleet.getDemand();
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
        this.ownLoad = new ownLoad.OwnLoad(this.options.self.capacity, this.startedAtMs);
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
        this.demandHold.setSpan(DEMAND_VALIDITIES * message.validityMs);
        this.fleet.setDemandSpan(DEMAND_VALIDITIES * message.validityMs);
        this.budget.setWindow(message.budgetWindowMs);
        this.sendHeartbeat(this.seedHosts, 'wanted');
        break;
      case 'load-measured':
        this.ownLoad?.record(message.sample, this.options.timers.getNowMs());
        break;
      case 'evidence-found':
        this.outcomes = message.outcomes;
        this.sendEvidence(message.rows);
        break;
      case 'quota-usage':
        this.sendQuotaUsage(message);
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
    if (lateMs > LATE_TICK_MS || this.ownLoad?.isSlowed(nowMs) === true) this.slowState.record(nowMs);
    if (this.state === 'ready' || this.state === 'slow') this.setState(this.slowState.isSlow(nowMs) ? 'slow' : 'ready');
    this.demandHold.record(this.fleet.computePlaceLoad(this.ownLoad?.buildReport(nowMs), nowMs), nowMs);
    this.fleet.prune(nowMs).forEach((name) => this.log('vm-lost', { peer: name }));
    this.updateRole();
    this.sendPeriodicHeartbeats(nowMs);
    this.sendRows(this.fleet.getOtherFronts(), this.batch.takeDue(nowMs));
    this.startTimer();
  }

  private startTimer(): void {
    this.tickSpan = this.fleet.getStanding() === 'reserve' ? RESERVE_TICK_SPAN : 1;
    this.timer?.cancel();
    this.timer = this.options.timers.subscribe({ mailbox: this, message: { type: 'tick' as const }, delayMs: this.tickSpan * TICK_MS });
  }

  private sendPeriodicHeartbeats(nowMs: number): void {
    const { random } = this.options;
    const standing = this.fleet.getStanding();
    const closest = this.fleet.getClosest();
    const isLeading = this.fleet.isLeadingFront();
    if (standing === 'front' && this.isDue(FRONT_TO_RESERVE_TICKS)) {
      // The digests of two fronts are enough; they are the larger part of the traffic of heartbeats. The closest VMs get none, since they
      // hear from all others themselves.
      this.sendHeartbeat(this.fleet.listTargets(nowMs), 'none', isLeading ? undefined : []);
    } else if (standing === 'front' || (standing === 'standby' && this.isDue(STANDBY_TICKS))) this.sendHeartbeat(closest, 'none', []);
    else if (standing === 'reserve' && this.isDue(Math.ceil(this.fleet.computeReserveIntervalMs() / TICK_MS))) {
      const other = random.pickItem(this.fleet.listTargets(nowMs));
      this.sendHeartbeat([...new Set([...closest, ...other === undefined ? [] : [other]])], 'none', []);
    }
    if (this.isDue(OTHER_PLACE_TICKS) && (standing !== 'front' || isLeading)) this.sendToOtherPlaces(standing, nowMs);
    const isolated = this.fleet.isIsolated(nowMs);
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
    const previous = this.fleet.getReport(heartbeat.name);
    if (previous === undefined && heartbeat.place === self.place) {
      this.log('vm-found', { peer: heartbeat.name, place: heartbeat.place, state: heartbeat.state });
    }
    this.fleet.recordHeartbeat(heartbeat, nowMs);
    if (previous?.state !== heartbeat.state) this.updateRole();
    this.options.catalog.post({
      type: 'peer-revision-received',
      host: heartbeat.host,
      distance: heartbeat.place === self.place ? 'same-place' : 'other-place',
      role: heartbeat.role,
      revision: heartbeat.revision,
      confirmedAgeMs: heartbeat.confirmedAgeMs,
      store: heartbeat.store,
    });
    if (heartbeat.reply === 'wanted') this.sendHeartbeat([heartbeat.host], 'none', this.fleet.listForNewcomer(heartbeat.place, nowMs));
  }

  private handleCatalog(status: Extract<membershipMessage.MembershipMessage, { type: 'catalog-status' }>): void {
    this.revision = status.revision;
    this.store = status.store;
    if (this.state === 'starting' && status.configuration === 'present') {
      this.setState('ready');
      this.announce();
    } else if (status.content === 'changed' && this.role === 'watcher') {
      this.announce();
      // The fronts of the other places may have lost the store, or may be the only ones that know more of an outage.
      this.sendHeartbeat(this.fleet.getOtherFronts(), 'none', []);
    }
  }

  // Sends a heartbeat to the VMs of the place immediately instead of at the next tick. Reserves need not know of each other at once, unless
  // one of them leaves.
  private announce(): void {
    const nowMs = this.options.timers.getNowMs();
    const isReserve = this.fleet.getStanding() === 'reserve' && this.state !== 'leaving';
    this.sendHeartbeat(isReserve ? this.fleet.getClosest() : this.fleet.listTargets(nowMs), 'none');
  }

  private setState(state: vmHeartbeat.VmState): void {
    if (state === this.state) return;
    this.log('vm-state', { from: this.state, to: state, revision: this.revision });
    this.state = state;
  }

  private updateRole(): void {
    const { self, frontsPerPlace } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const previous = this.fleet.getFronts().join(' ');
    this.fleet.updateRanks(this.buildOwnReport(nowMs), nowMs);
    const fronts = this.fleet.getFronts().join(' ');
    if (fronts !== previous) {
      const { cores, linkMbps } = this.fleet.getDemand();
      this.log('fronts-changed', {
        fronts, count: this.fleet.getFronts().length, cores: Math.round(cores * 100) / 100, linkMbps: Math.round(linkMbps * 100) / 100,
      });
    }
    this.updateBudget(nowMs);
    this.updateListing();
    // VMs that are starting will serve soon, so that the first ones that are ready do not all watch the store.
    const ranked = this.fleet.rankPlace(self.place, this.buildOwnReport(nowMs), nowMs, 'starting').map((vm) => vm.host);
    const role = this.state !== 'starting' && ranked.slice(0, frontsPerPlace).includes(self.host) ? 'watcher' : 'follower';
    if (role === this.role) return;
    this.role = role;
    this.options.catalog.post({ type: 'role-chosen', role });
  }

  private updateBudget(nowMs: number): void {
    const standing = this.fleet.getStanding() === 'front' ? 'front' : 'other';
    const divisor = this.budget.record(this.fleet.getFronts().length, standing, nowMs);
    if (divisor === this.budgetDivisor) return;
    this.budgetDivisor = divisor;
    this.options.outbox.post({ type: 'budget-share-changed', divisor });
  }

  // The demand is reported by fronts only: they hear of each other at each tick.
  private buildOwnReport(nowMs: number): fleetView.OwnReport {
    const { linkCapacityMbps } = this.options.self;
    const load = this.ownLoad?.buildReport(nowMs);
    const demand = this.fleet.getStanding() === 'front' ? this.demandHold.computeDemand() : { cores: 0, linkMbps: 0 };
    return {
      state: this.state,
      ...linkCapacityMbps === undefined ? {} : { linkCapacityMbps },
      ...load === undefined ? {} : { load },
      ...demand.cores === 0 && demand.linkMbps === 0 ? {} : { demand },
    };
  }

  // Evidence is sent to the fronts only, since they route nearly all requests. Limits of instances hold for all VMs together, so that VMs
  // which callers may still use need them as well.
  private sendEvidence(rows: readonly instanceEvidence.InstanceEvidence[]): void {
    const nowMs = this.options.timers.getNowMs();
    this.sendRows(this.fleet.getFronts(), rows);
    this.sendRows(this.fleet.getOtherFronts(), this.batch.add(rows, nowMs));
    this.sendRows(this.fleet.listFormerFronts(nowMs), rows.filter((row) => row.limit !== undefined));
    if (!this.isStarting(nowMs)) return;
    const informed = [...this.fleet.getFronts(), ...this.fleet.getOtherFronts()];
    const hosts = this.fleet.listReachable(nowMs).map((vm) => vm.getLastReport().host).filter((host) => !informed.includes(host));
    const urgent = rows.filter((row) => evidenceBatch.EvidenceBatch.isUrgent(row));
    this.sendRows(this.options.random.shuffleItems(hosts).slice(0, MAX_START_EVIDENCE_HOSTS), urgent);
  }

  // Quotas hold for all VMs that callers may use: those that the directory returns or returned, and those that tell of requests themselves.
  private sendQuotaUsage({ usage, hosts, audience }: Extract<membershipMessage.MembershipMessage, { type: 'quota-usage' }>): void {
    const { self, outbox, random } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const listed = audience === 'newcomer' ? [] : [...this.fleet.getFronts(), ...this.fleet.getOtherFronts(), ...this.fleet.listFormerFronts(nowMs)];
    const starting = audience === 'newcomer' || !this.isStarting(nowMs)
      ? []
      : random.shuffleItems(this.fleet.listReachable(nowMs).map((vm) => vm.getLastReport().host)).slice(0, MAX_START_EVIDENCE_HOSTS);
    const receivers = [...new Set([...listed, ...hosts, ...starting])].filter((host) => host !== self.host);
    if (receivers.length > 0) outbox.post({ type: 'send-quota-usage', hosts: receivers, notice: { ...usage, from: self.name, host: self.host } });
  }

  private updateListing(): void {
    const listed = this.fleet.getFronts().includes(this.options.self.host) ? 'listed' : 'unlisted';
    if (listed === this.listed) return;
    this.listed = listed;
    this.options.outbox.post({ type: 'listing-changed', listed });
  }

  private isStarting(nowMs: number): boolean {
    return nowMs - this.startedAtMs < START_SPAN_MS;
  }

  private sendRows(hosts: readonly string[], rows: readonly instanceEvidence.InstanceEvidence[]): void {
    const { self, outbox } = this.options;
    const others = hosts.filter((host) => host !== self.host);
    if (rows.length === 0 || others.length === 0) return;
    outbox.post({ type: 'send-evidence', hosts: others, notice: { from: self.name, rows, outcomes: this.outcomes } });
  }

  private listFronts(place: string): string[] {
    const { self } = this.options;
    const fronts = this.drawFronts(place);
    if (fronts.length > 0) return fronts;
    // Callers of a place without a usable VM are sent to the fronts of the place of this VM.
    const ownFronts = this.drawFronts(self.place);
    return ownFronts.length > 0 ? ownFronts : [self.host];
  }

  private drawFronts(place: string): string[] {
    const { frontsPerPlace, random } = this.options;
    const nowMs = this.options.timers.getNowMs();
    const leastState = this.isStarting(nowMs) ? 'starting' : 'slow';
    const { fronts, demand } = this.fleet.chooseFronts(place, this.buildOwnReport(nowMs), nowMs, leastState);
    return frontChoice.FrontChoice.drawAnswer(frontChoice.FrontChoice.weighFronts(fronts, demand), frontsPerPlace, random);
  }

  private sendToOtherPlaces(standing: fleetView.VmStanding, nowMs: number): void {
    if (standing === 'front' && this.fleet.getOtherFronts().length > 0) {
      this.sendHeartbeat(this.fleet.getOtherFronts(), 'none', this.fleet.listClosest(nowMs));
      return;
    }
    // The fronts tell their place about the others, so that a reserve needs no contact of its own.
    if (standing === 'reserve') return;
    const target = this.fleet.pickOtherPlaceHost();
    if (target !== undefined) this.sendHeartbeat([target], 'none', this.fleet.listClosest(nowMs));
  }

  private sendHeartbeat(hosts: readonly string[], reply: 'wanted' | 'none', mentioned = this.fleet.takeDigests(this.options.timers.getNowMs())): void {
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
        ...this.buildOwnReport(nowMs),
        sequence: this.sequence,
        role: this.role ?? 'follower',
        revision: this.revision,
        confirmedAgeMs: Math.min(1e9, Math.round(nowMs - this.store.confirmedAtMs)),
        store: storeContact.StoreContact.buildReport(this.store, nowMs),
        reply,
        mentions: mentioned.map((vm) => vm.buildDigest(nowMs)),
      },
    });
  }

  private log(event: string, fields: gatewayOutput.LogFields): void {
    this.options.outbox.post({ type: 'log', event, fields });
  }
}
