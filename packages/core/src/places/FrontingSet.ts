import * as placeSpread from './PlaceSpread.js';
import * as rendezvousHash from './RendezvousHash.js';

const MIN_FRONTING_SIZE = 6;
const MAX_FRONTING_SIZE = 12;

/** VM that may belong to a fronting set. */
export interface FrontingCandidate {
  readonly name: string;
  readonly place: string;
}

interface ScoredCandidate<Candidate> {
  readonly candidate: Candidate;
  readonly score: number;
}

/** Chooses the VMs that callers of a service are sent to: evenly over places, and the same on every VM with the same view. */
export class FrontingSet {
  /**
   * Chooses the members of the fronting set of a service.
   * @param service - Name of the service.
   * @param candidates - Usable VMs.
   * @param size - Number of members.
   */
  chooseMembers<Candidate extends FrontingCandidate>(
    service: string,
    candidates: readonly Candidate[],
    size = MAX_FRONTING_SIZE,
  ): Candidate[] {
    const best = FrontingSet.selectBest(service, candidates);
    const ranked = rendezvousHash.RendezvousHash.rankItems(service, best, (candidate) => candidate.name);
    return placeSpread.PlaceSpread.takeEvenly(ranked, (candidate) => candidate.place, size);
  }

  /**
   * Computes the number of members for a service. A VM more than instances would have none that it mainly uses,
   * and its attempts would meet slots that other VMs hold; the floor is a lower bound of the instances that every VM knows.
   * @param floorInstances - Capacity floor of the service.
   */
  static computeSize(floorInstances: number): number {
    return Math.min(MAX_FRONTING_SIZE, Math.max(MIN_FRONTING_SIZE, floorInstances));
  }

  // Only the best of each place can be chosen. Sorting all of 6,400 VMs for each service took most of the time.
  private static selectBest<Candidate extends FrontingCandidate>(service: string, candidates: readonly Candidate[]): Candidate[] {
    const places = new Map<string, ScoredCandidate<Candidate>[]>();
    candidates.forEach((candidate) => {
      const score = rendezvousHash.RendezvousHash.computeScore(service, candidate.name);
      const best = places.get(candidate.place);
      if (best === undefined) places.set(candidate.place, [{ candidate, score }]);
      else if (best.length < MAX_FRONTING_SIZE || score >= best[best.length - 1]!.score) FrontingSet.insertScored(best, { candidate, score });
    });
    return [...places.values()].flatMap((best) => best.map((scored) => scored.candidate));
  }

  private static insertScored<Candidate>(best: ScoredCandidate<Candidate>[], scored: ScoredCandidate<Candidate>): void {
    const position = best.findIndex((other) => other.score < scored.score);
    best.splice(position < 0 ? best.length : position, 0, scored);
    if (best.length > MAX_FRONTING_SIZE) best.pop();
  }
}
