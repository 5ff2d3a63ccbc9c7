import * as core from '@tamarackferry/core';

import type * as vmHeartbeat from './VmHeartbeat.js';
import type * as vmLoad from './VmLoad.js';

// Part of what a VM bears that is planned to be used. Callers learn of further VMs only when they ask the directory again, so that a burst
// of twice the usual load must be borne until then.
const TARGET_SHARE = 0.5;

// Most VMs of a place that callers are sent to. Each sends evidence to all others up to 13 times a second, so that the exchange would
// otherwise take the processor time of small VMs.
export const MAX_FRONTS = 12;

// A VM with this share of its memory in use is sent callers only if the others do not suffice.
const FULL_MEMORY_SHARE = 0.9;

// A VM is listed in fewer answers if its use of what it bears exceeds the mean by this factor, and exceeds the given share. Without it,
// callers with persistent connections would not move to VMs that were added. It is listed in at least the smallest share of answers.
const UNEVEN_FACTOR = 1.25;
const BUSY_SHARE = 0.3;
const MIN_LISTED_SHARE = 0.1;

// Smallest capacity that is assumed, so that shares can be computed.
const MIN_CORES = 0.01;

/** VM that callers may be sent to. */
export interface FrontCandidate {
  readonly name: string;
  readonly host: string;
  readonly state: vmHeartbeat.VmState;
  readonly capacity: number;
  /** What its link bears, in Mbit/s. Unlimited if it is not known. */
  readonly linkCapacityMbps?: number | undefined;
  readonly load?: vmLoad.VmLoad | undefined;
}

/** VM that callers are sent to, with the share of the directory answers that list it. */
export interface WeightedFront {
  readonly host: string;
  readonly listedShare: number;
}

/**
 * Chooses the VMs of a place that callers are sent to. All VMs that know the same reports choose the same. Load patterns: more requests
 * than two VMs of a place bear, be it usual load on small VMs or a burst; large VMs that are killed, after which small ones take their
 * callers; VMs that are slowed down.
 */
export class FrontChoice {
  /**
   * Sorts the VMs that can serve callers: `slow` ones and those without memory last, then by capacity, then by a hash of place and name.
   * @param place - Place of the VMs.
   * @param candidates - Reachable VMs of the place.
   * @param leastState - Whether VMs that are starting count as well.
   */
  static rankCandidates<Candidate extends FrontCandidate>(
    place: string,
    candidates: readonly Candidate[],
    leastState: 'slow' | 'starting' = 'slow',
  ): Candidate[] {
    const usable = candidates.filter(({ state }) => state === 'ready' || state === 'slow' || state === leastState);
    return core.places.RendezvousHash.rankItems(place, usable, (candidate) => candidate.name)
      .sort((left, right) => FrontChoice.weighState(left) - FrontChoice.weighState(right) || right.capacity - left.capacity);
  }

  /**
   * Counts the VMs, from the first one on, that bear a demand.
   * @param ranked - VMs as ranked by `rankCandidates`.
   * @param demand - Demand of the callers of the place.
   * @param least - Number of VMs that callers are sent to also without load.
   */
  static countNeeded(ranked: readonly FrontCandidate[], demand: vmLoad.PlaceDemand, least: number): number {
    let cores = 0;
    let linkMbps = 0;
    const last = ranked.findIndex((candidate) => {
      cores += FrontChoice.getBorneCores(candidate) * TARGET_SHARE;
      linkMbps += (candidate.linkCapacityMbps ?? Infinity) * TARGET_SHARE;
      return cores >= demand.cores && linkMbps >= demand.linkMbps;
    });
    return Math.min(Math.max(least, last < 0 ? ranked.length : last + 1), Math.max(least, MAX_FRONTS));
  }

  /**
   * Orders ranked VMs so that the first ones are those that callers are sent to. Disturbed VMs come last, unless the others do not bear the
   * demand; then the largest come first whatever their state.
   * @param ranked - VMs as ranked by `rankCandidates`.
   * @param demand - Demand of the callers of the place.
   * @param least - Number of VMs that callers are sent to also without load.
   */
  static sortForDemand<Candidate extends FrontCandidate>(
    ranked: readonly Candidate[],
    demand: vmLoad.PlaceDemand,
    least: number,
  ): Candidate[] {
    const sound = ranked.filter((candidate) => FrontChoice.weighState(candidate) === 0);
    const most = Math.max(least, MAX_FRONTS);
    if (sound.length <= least || sound.length === ranked.length) return [...ranked];
    const cores = sound.slice(0, most).reduce((sum, candidate) => sum + FrontChoice.getBorneCores(candidate), 0);
    const linkMbps = sound.slice(0, most).reduce((sum, candidate) => sum + (candidate.linkCapacityMbps ?? Infinity), 0);
    // Up to their full capacity: a disturbed VM delays its callers more than one that is used above the target.
    if (cores >= demand.cores && linkMbps >= demand.linkMbps) return [...ranked];
    return [...ranked].sort((left, right) => FrontChoice.getBorneCores(right) - FrontChoice.getBorneCores(left));
  }

  /**
   * Computes the share of the directory answers that list each VM.
   * @param fronts - VMs that callers are sent to.
   * @param demand - Demand of the callers of the place.
   */
  static weighFronts(fronts: readonly FrontCandidate[], demand: vmLoad.PlaceDemand): WeightedFront[] {
    const weights = fronts.map((front) => FrontChoice.computeBorneShare(front, demand));
    const uses = fronts.map((front) => FrontChoice.computeUse(front));
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    const meanUse = uses.reduce((sum, use, index) => sum + use * weights[index]!, 0) / totalWeight;
    const evenUse = Math.max(BUSY_SHARE, UNEVEN_FACTOR * meanUse);
    const shares = fronts.map((_, index) => weights[index]! * (uses[index]! > evenUse ? meanUse / uses[index]! : 1));
    const largest = Math.max(...shares);
    return fronts.map((front, index) => ({ host: front.host, listedShare: Math.max(MIN_LISTED_SHARE, shares[index]! / largest) }));
  }

  /**
   * Draws the VMs that one directory answer lists. Each is listed in its share of the answers; the answer never has fewer than `least`.
   * @param fronts - VMs that callers are sent to, with their shares.
   * @param least - Smallest number of VMs in an answer.
   * @param random - Source of randomness.
   */
  static drawAnswer(fronts: readonly WeightedFront[], least: number, random: core.randomness.RandomSource): string[] {
    if (fronts.length <= least) return fronts.map((front) => front.host);
    return fronts.map((front) => ({ host: front.host, draw: random.drawFraction() / front.listedShare }))
      .sort((left, right) => left.draw - right.draw)
      .filter(({ draw }, index) => index < least || draw < 1)
      .map(({ host }) => host);
  }

  // Cores that are available for callers.
  private static getBorneCores(candidate: FrontCandidate): number {
    return Math.max(MIN_CORES, Math.min(candidate.capacity, candidate.load?.bears ?? candidate.capacity));
  }

  // Part of the demand that a VM bears, by the resource that is scarcest at it.
  private static computeBorneShare(candidate: FrontCandidate, demand: vmLoad.PlaceDemand): number {
    const cores = FrontChoice.getBorneCores(candidate);
    if (demand.cores <= 0 && demand.linkMbps <= 0) return cores;
    return 1 / Math.max(demand.cores / cores, demand.linkMbps / (candidate.linkCapacityMbps ?? Infinity), Number.EPSILON);
  }

  private static computeUse(candidate: FrontCandidate): number {
    const { load } = candidate;
    if (load === undefined) return 0;
    return Math.max(load.cores / FrontChoice.getBorneCores(candidate), load.linkMbps / (candidate.linkCapacityMbps ?? Infinity));
  }

  private static weighState(candidate: FrontCandidate): number {
    return candidate.state === 'slow' || (candidate.load?.memoryShare ?? 0) >= FULL_MEMORY_SHARE ? 1 : 0;
  }
}
