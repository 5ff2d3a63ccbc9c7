import type * as core from '@tamarackferry/core';

import * as demandHold from './DemandHold.js';
import * as frontChoice from './FrontChoice.js';
import * as peerVm from './PeerVm.js';
import type * as vmHeartbeat from './VmHeartbeat.js';
import type * as vmLoad from './VmLoad.js';

// A front counts as lost after this time without news: for fronts and standbys after three heartbeats, for reserves after two of theirs.
const FRONT_TIMEOUT_MS = 1_000;
const FRONT_TIMEOUT_FOR_RESERVES_MS = 2_600;
const STANDBYS = 2;

// The heartbeat interval of a reserve grows with the number of VMs in the place, so that the number of heartbeats received by a front does
// not.
const MIN_RESERVE_INTERVAL_MS = 1_000;
const RESERVE_INTERVAL_PER_VM_MS = 50;

// A reserve counts as unreachable after this many of its heartbeat intervals, and the time that digests take, without news of it.
const RESERVE_TIMEOUT_PERIODS = 3.5;
const DIGEST_DELAY_MS = 8_000;

// The record of a VM is removed when its latest report is older than this, or than twice the time-out of reserves.
const RECORD_LIFETIME_MS = 30_000;

// Heartbeats are sent to a VM of the same place until its latest report is older than this and the time that digests take. VMs of other
// places are considered reachable for the same time.
const CONTACT_LIFETIME_MS = 10_000;

// Callers still use a VM for this time after it ceased to be a front: they keep an answer of the directory up to three times as long as it
// is valid.
const FORMER_FRONT_SPAN_MS = 5_000;

// Digests of other VMs in a heartbeat, which take turns, and in the reply to a VM that requested one. In a large place there are more, so
// that each reserve is mentioned well before it counts as unreachable.
const MIN_HEARTBEAT_DIGESTS = 4;
const MAX_HEARTBEAT_DIGESTS = 16;
const VMS_PER_DIGEST = 5;
const REPLY_DIGESTS = 40;

/**
 * Standing of a VM in its place.
 * - `front`: callers are sent to it.
 * - `standby`: replaces a front that is lost; also a VM that knows no front.
 * - `reserve`: answers directory requests only.
 */
export type VmStanding = 'front' | 'standby' | 'reserve';

/** What this VM reports about itself. */
export interface OwnReport extends vmHeartbeat.LoadFields {
  readonly state: vmHeartbeat.VmState;
}

/** VMs that the callers of a place are sent to, and the demand that they were chosen for. */
export interface PlaceFronts {
  readonly fronts: readonly frontChoice.FrontCandidate[];
  /** VMs that would replace lost ones. */
  readonly standbys: readonly frontChoice.FrontCandidate[];
  readonly demand: vmLoad.PlaceDemand;
}

/** Options of a `FleetView`. */
export interface FleetViewOptions {
  readonly random: core.randomness.RandomSource;
  readonly self: Pick<vmHeartbeat.VmHeartbeat, 'name' | 'host' | 'place' | 'incarnation' | 'capacity' | 'linkCapacityMbps'>;
  /** Number of fronts of a place without load. */
  readonly frontsPerPlace: number;
  /** Time for which a reported demand counts, in milliseconds. */
  readonly demandSpanMs: number;
}

/** What a VM knows about the others: all VMs of its place, and the fronts and standbys of the other places. */
export class FleetView {
  private readonly vms = new Map<string, peerVm.PeerVm>();

  // Number of VMs of the place, including this one, when the records were pruned last.
  private placeSize = 1;

  // Position in the list of VMs at which the next digests begin.
  private nextDigest = 0;

  // Hosts of the fronts of the place of this VM, and of the VMs that would replace them.
  private fronts: readonly string[] = [];

  private standbys: readonly string[] = [];

  // Times since when the hosts of the place are fronts. Before, they sent heartbeats too rarely to be judged by their silence.
  private readonly frontSinceMs = new Map<string, number>();

  private demand: vmLoad.PlaceDemand = { cores: 0, linkMbps: 0 };

  private demandSpanMs: number;

  // Hosts of the fronts of the other places.
  private otherFronts: readonly string[] = [];

  // Times at which hosts of all places ceased to be fronts.
  private readonly formerFronts = new Map<string, number>();

  /** @param options - This VM, number of fronts and random source. */
  constructor(private readonly options: FleetViewOptions) {
    this.demandSpanMs = options.demandSpanMs;
  }

  /**
   * Gets the latest report of a VM. Undefined if there is no record of it.
   * @param name - Name of the VM.
   */
  getReport(name: string): ReturnType<peerVm.PeerVm['getLastReport']> | undefined {
    return this.vms.get(name)?.getLastReport();
  }

  /** Gets the hosts of the fronts of the place. */
  getFronts(): readonly string[] {
    return this.fronts;
  }

  /** Gets the hosts of the fronts of the other places. */
  getOtherFronts(): readonly string[] {
    return this.otherFronts;
  }

  /**
   * Lists the hosts that recently were fronts, of all places. Callers may still send requests to them.
   * @param nowMs - Current time.
   */
  listFormerFronts(nowMs: number): string[] {
    return [...this.formerFronts].filter(([, atMs]) => nowMs - atMs <= FORMER_FRONT_SPAN_MS).map(([host]) => host);
  }

  /** Gets the hosts of the fronts and standbys of the place. */
  getClosest(): readonly string[] {
    return [...this.fronts, ...this.standbys];
  }

  /** Gets the standing of this VM. */
  getStanding(): VmStanding {
    const { host } = this.options.self;
    if (this.fronts.includes(host)) return 'front';
    return this.fronts.length === 0 || this.standbys.includes(host) ? 'standby' : 'reserve';
  }

  /** Whether this VM is one of the first fronts of its place, which would be its only ones without load. */
  isLeadingFront(): boolean {
    return this.fronts.slice(0, this.options.frontsPerPlace).includes(this.options.self.host);
  }

  /** Computes the interval of the heartbeats of a reserve, in milliseconds. */
  computeReserveIntervalMs(): number {
    return Math.max(MIN_RESERVE_INTERVAL_MS, this.placeSize * RESERVE_INTERVAL_PER_VM_MS);
  }

  /**
   * Records a heartbeat and the digests in it.
   * @param heartbeat - Heartbeat of another VM.
   * @param nowMs - Current time.
   */
  recordHeartbeat(heartbeat: vmHeartbeat.VmHeartbeat, nowMs: number): void {
    const existing = this.vms.get(heartbeat.name);
    if (existing === undefined) this.vms.set(heartbeat.name, peerVm.PeerVm.fromDigest({ ...heartbeat, ageMs: 0 }, nowMs));
    else existing.applyHeartbeat(heartbeat, nowMs);
    heartbeat.mentions.filter((digest) => digest.name !== this.options.self.name).forEach((digest) => this.recordDigest(digest, nowMs));
  }

  /**
   * Removes outdated records. Returns the names of the removed VMs of the place.
   * @param nowMs - Current time.
   */
  prune(nowMs: number): readonly string[] {
    const lifetimeMs = Math.max(RECORD_LIFETIME_MS, 2 * this.computeReserveTimeoutMs());
    const outdated = [...this.vms].filter(([, vm]) => vm.computeReportAgeMs(nowMs) > lifetimeMs);
    outdated.forEach(([name]) => this.vms.delete(name));
    this.placeSize = 1 + this.listOfPlace().length;
    // Of the other places, this VM only needs to know the fronts; it forgets the VMs that it met while it discovered the fleet.
    return outdated.filter(([, vm]) => this.isOfPlace(vm)).map(([name]) => name);
  }

  /**
   * Determines the fronts and standbys again.
   * @param own - Report of this VM.
   * @param nowMs - Current time.
   */
  updateRanks(own: OwnReport, nowMs: number): void {
    const previous = [...this.fronts, ...this.otherFronts];
    // Otherwise a lost front would count as a reserve, whose reports may be older, and be chosen again.
    this.listOfPlace().filter((vm) => this.isSilentFront(vm, nowMs)).forEach((vm) => vm.markLost());
    const chosen = this.chooseFronts(this.options.self.place, own, nowMs);
    this.demand = chosen.demand;
    this.fronts = chosen.fronts.map((vm) => vm.host);
    this.standbys = chosen.standbys.map((vm) => vm.host);
    this.frontSinceMs.forEach((_, host) => {
      if (!this.fronts.includes(host)) this.frontSinceMs.delete(host);
    });
    this.fronts.filter((host) => !this.frontSinceMs.has(host)).forEach((host) => this.frontSinceMs.set(host, nowMs));
    const places = new Set([...this.vms.values()].filter((vm) => !this.isOfPlace(vm)).map((vm) => vm.getLastReport().place));
    this.otherFronts = [...places].flatMap((place) => this.chooseFronts(place, own, nowMs).fronts.map((vm) => vm.host));
    const current = [...this.fronts, ...this.otherFronts];
    previous.filter((host) => !current.includes(host)).forEach((host) => this.formerFronts.set(host, nowMs));
    this.formerFronts.forEach((atMs, host) => {
      if (current.includes(host) || nowMs - atMs > FORMER_FRONT_SPAN_MS) this.formerFronts.delete(host);
    });
  }

  /** Gets the demand that the fronts of the place were chosen for. */
  getDemand(): vmLoad.PlaceDemand {
    return this.demand;
  }

  /**
   * Changes the time for which a reported demand counts.
   * @param spanMs - Time, in milliseconds.
   */
  setDemandSpan(spanMs: number): void {
    this.demandSpanMs = spanMs;
  }

  /**
   * Chooses the VMs that the callers of a place are sent to.
   * @param place - Place.
   * @param own - Report of this VM.
   * @param nowMs - Current time.
   * @param leastState - Whether VMs that are starting count as well.
   */
  chooseFronts(place: string, own: OwnReport, nowMs: number, leastState: 'slow' | 'starting' = 'slow'): PlaceFronts {
    const { frontsPerPlace } = this.options;
    const demand = this.computeDemand(place, own, nowMs);
    const ranked = frontChoice.FrontChoice.sortForDemand(this.rankPlace(place, own, nowMs, leastState), demand, frontsPerPlace);
    const count = frontChoice.FrontChoice.countNeeded(ranked, demand, frontsPerPlace);
    return { fronts: ranked.slice(0, count), standbys: ranked.slice(count, count + STANDBYS), demand };
  }

  /**
   * Ranks the reachable VMs of a place, including this one.
   * @param place - Place.
   * @param own - Report of this VM.
   * @param nowMs - Current time.
   * @param leastState - Whether VMs that are starting count as well.
   */
  rankPlace(place: string, own: OwnReport, nowMs: number, leastState: 'slow' | 'starting' = 'slow'): frontChoice.FrontCandidate[] {
    const { self } = this.options;
    const others = this.listReachable(nowMs).map((vm) => vm.getLastReport()).filter((report) => report.place === place);
    const candidates = self.place === place ? [{ ...self, ...own }, ...others] : others;
    return frontChoice.FrontChoice.rankCandidates<frontChoice.FrontCandidate>(place, candidates, leastState);
  }

  /**
   * Computes the work that callers offer to the reachable VMs of the place now, including this one.
   * @param ownLoad - Load of this VM.
   * @param nowMs - Current time.
   */
  computePlaceLoad(ownLoad: vmLoad.VmLoad | undefined, nowMs: number): vmLoad.PlaceDemand {
    const others = this.listReachable(nowMs).filter((vm) => this.isOfPlace(vm)).map((vm) => vm.getLastReport().load);
    const loads = [ownLoad, ...others].filter((load) => load !== undefined);
    return {
      cores: loads.reduce((sum, load) => sum + load.cores, 0),
      linkMbps: loads.reduce((sum, load) => sum + load.linkMbps, 0),
    };
  }

  /**
   * Lists the reachable VMs.
   * @param nowMs - Current time.
   */
  listReachable(nowMs: number): peerVm.PeerVm[] {
    return [...this.vms.values()].filter((vm) => this.isReachable(vm, nowMs));
  }

  /**
   * Lists the hosts of the place that heartbeats are sent to.
   * @param nowMs - Current time.
   */
  listTargets(nowMs: number): string[] {
    return this.listOfPlace()
      .filter((vm) => vm.computeReportAgeMs(nowMs) <= this.computeContactLifetimeMs())
      .map((vm) => vm.getLastReport().host);
  }

  /**
   * Whether no VM of the place is reachable.
   * @param nowMs - Current time.
   */
  isIsolated(nowMs: number): boolean {
    return !this.listReachable(nowMs).some((vm) => this.isOfPlace(vm));
  }

  /** Picks the host of a VM of another place. Undefined if none is known. */
  pickOtherPlaceHost(): string | undefined {
    return this.options.random.pickItem([...this.vms.values()].filter((vm) => !this.isOfPlace(vm)))?.getLastReport().host;
  }

  /**
   * Takes the next VMs, in turn, of those that the VMs of this place should know: all of the place, and the fronts of the others.
   * @param nowMs - Current time.
   */
  takeDigests(nowMs: number): peerVm.PeerVm[] {
    const known = this.listReachable(nowMs).filter((vm) => this.isOfPlace(vm) || this.otherFronts.includes(vm.getLastReport().host));
    const count = Math.min(MAX_HEARTBEAT_DIGESTS, Math.max(MIN_HEARTBEAT_DIGESTS, Math.ceil(known.length / VMS_PER_DIGEST)));
    const first = this.nextDigest % Math.max(1, known.length);
    this.nextDigest = first + count;
    return [...known.slice(first), ...known.slice(0, first)].slice(0, count);
  }

  /**
   * Lists the VMs that other places need to know: the fronts of this place, and the VMs that would replace them.
   * @param nowMs - Current time.
   */
  listClosest(nowMs: number): peerVm.PeerVm[] {
    const closest = this.getClosest();
    return this.listReachable(nowMs).filter((vm) => closest.includes(vm.getLastReport().host));
  }

  /**
   * Lists VMs for one that discovers the fleet, which needs to know its own place first.
   * @param place - Place of the VM that discovers the fleet.
   * @param nowMs - Current time.
   */
  listForNewcomer(place: string, nowMs: number): peerVm.PeerVm[] {
    const reachable = this.options.random.shuffleItems(this.listReachable(nowMs));
    const isKnownFirst = (vm: peerVm.PeerVm): boolean => vm.getLastReport().place === place;
    return [...reachable.filter(isKnownFirst), ...reachable.filter((vm) => !isKnownFirst(vm))].slice(0, REPLY_DIGESTS);
  }

  // Largest demand that VMs of a place have reported lately. Reports of VMs that were lost since count as well, so that those that replace
  // them are as many as the callers need.
  private computeDemand(place: string, own: OwnReport, nowMs: number): vmLoad.PlaceDemand {
    const reported = [...this.vms.values()]
      .filter((vm) => vm.getLastReport().place === place && vm.computeReportAgeMs(nowMs) <= this.demandSpanMs)
      .map((vm) => vm.getLastReport().demand);
    return demandHold.DemandHold.computeLargest(
      [...place === this.options.self.place ? [own.demand] : [], ...reported].filter((demand) => demand !== undefined),
    );
  }

  private recordDigest(digest: vmHeartbeat.PeerDigest, nowMs: number): void {
    const existing = this.vms.get(digest.name);
    if (existing !== undefined) existing.applyDigest(digest, nowMs);
    else if (digest.ageMs < this.computeReserveTimeoutMs()) this.vms.set(digest.name, peerVm.PeerVm.fromDigest(digest, nowMs));
  }

  private isReachable(vm: peerVm.PeerVm, nowMs: number): boolean {
    const ageMs = vm.computeReportAgeMs(nowMs);
    // Reports about VMs of other places are received by gossip only, and therefore less often.
    if (!this.isOfPlace(vm)) return ageMs <= this.computeContactLifetimeMs();
    return !vm.isLost() && ageMs <= this.computeReserveTimeoutMs() && !this.isSilentFront(vm, nowMs);
  }

  private isSilentFront(vm: peerVm.PeerVm, nowMs: number): boolean {
    const sinceMs = this.frontSinceMs.get(vm.getLastReport().host);
    if (sinceMs === undefined) return false;
    const timeoutMs = this.getStanding() === 'reserve' ? FRONT_TIMEOUT_FOR_RESERVES_MS : FRONT_TIMEOUT_MS;
    return Math.min(vm.computeReportAgeMs(nowMs), nowMs - sinceMs) > timeoutMs;
  }

  private isOfPlace(vm: peerVm.PeerVm): boolean {
    return vm.getLastReport().place === this.options.self.place;
  }

  private listOfPlace(): peerVm.PeerVm[] {
    return [...this.vms.values()].filter((vm) => this.isOfPlace(vm));
  }

  private computeReserveTimeoutMs(): number {
    return DIGEST_DELAY_MS + RESERVE_TIMEOUT_PERIODS * this.computeReserveIntervalMs();
  }

  private computeContactLifetimeMs(): number {
    return Math.max(CONTACT_LIFETIME_MS + DIGEST_DELAY_MS, this.computeReserveTimeoutMs());
  }
}
