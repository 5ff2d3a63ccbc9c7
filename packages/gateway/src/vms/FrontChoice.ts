import * as core from '@tamarackferry/core';

import type * as vmHeartbeat from './VmHeartbeat.js';

/** VM that callers may be sent to. */
export interface FrontCandidate {
  readonly name: string;
  readonly host: string;
  readonly state: vmHeartbeat.VmState;
  readonly capacity: number;
}

/** Ranks the VMs of a place; callers are sent to the first few. All VMs that know the same candidates compute the same order. */
export class FrontChoice {
  /**
   * Sorts the VMs that can serve callers: `slow` ones last, then by capacity, then by a hash of place and name.
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

  private static weighState(candidate: FrontCandidate): number {
    return candidate.state === 'slow' ? 1 : 0;
  }
}
