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
   * Sorts the VMs that can serve callers: `ready` before `slow` ones, then by capacity, then by a hash of place and name.
   * @param place - Place of the VMs.
   * @param candidates - Reachable VMs of the place.
   */
  static rankCandidates<Candidate extends FrontCandidate>(place: string, candidates: readonly Candidate[]): Candidate[] {
    const usable = candidates.filter((candidate) => candidate.state === 'ready' || candidate.state === 'slow');
    return core.places.RendezvousHash.rankItems(place, usable, (candidate) => candidate.name)
      .sort((left, right) => FrontChoice.weighState(left) - FrontChoice.weighState(right) || right.capacity - left.capacity);
  }

  private static weighState(candidate: FrontCandidate): number {
    return candidate.state === 'ready' ? 0 : 1;
  }
}
