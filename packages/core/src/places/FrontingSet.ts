import * as placeSpread from './PlaceSpread.js';
import * as rendezvousHash from './RendezvousHash.js';

const FRONTING_SIZE = 12;

/** VM that may belong to a fronting set. */
export interface FrontingCandidate {
  readonly name: string;
  readonly place: string;
}

/** Chooses the VMs that callers of a service are sent to: evenly over places, and the same on every VM with the same view. */
export class FrontingSet {
  /**
   * Chooses the members of the fronting set of a service.
   * @param service - Name of the service.
   * @param candidates - Usable VMs.
   */
  chooseMembers<Candidate extends FrontingCandidate>(service: string, candidates: readonly Candidate[]): Candidate[] {
    const ranked = rendezvousHash.RendezvousHash.rankItems(service, candidates, (candidate) => candidate.name);
    return placeSpread.PlaceSpread.takeEvenly(ranked, (candidate) => candidate.place, FRONTING_SIZE);
  }
}
