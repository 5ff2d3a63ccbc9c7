import * as core from '@tamarackferry/core';

import type * as vmHeartbeat from './VmHeartbeat.js';

/** VM that callers may be sent to. */
export interface FrontCandidate {
  readonly name: string;
  readonly host: string;
  readonly state: vmHeartbeat.VmState;
  readonly capacity: number;
}

/** Chooses the few VMs of a place that callers are sent to. VMs with the same view choose the same ones. */
export class FrontChoice {
  /**
   * Returns the VMs in the order in which they are used: those that serve well first, then the larger ones.
   * @param place - Place of the VMs.
   * @param candidates - VMs of the place that were lately heard.
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
