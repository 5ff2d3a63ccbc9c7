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

/**
 * Selects the VMs whose addresses callers of a service receive. The VMs are spread evenly over places, and every VM with the same
 * view selects the same ones.
 */
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
   * Computes the number of members for a service. With more VMs than instances, some VMs would have no preferred instance, and
   * their attempts would find slots in use by other VMs. The floor serves as a lower bound of the number of instances, since every
   * VM knows it.
   * @param floorInstances - Capacity floor of the service.
   */
  static computeSize(floorInstances: number): number {
    return Math.min(MAX_FRONTING_SIZE, Math.max(MIN_FRONTING_SIZE, floorInstances));
  }

  // Only candidates with the highest scores of their place can be chosen. Sorting all of 6,400 VMs for each service took most of
  // the time.
  private static selectBest<Candidate extends FrontingCandidate>(service: string, candidates: readonly Candidate[]): Candidate[] {
    const places = new Map<string, ScoredCandidate<Candidate>[]>();
    candidates.forEach((candidate) => {
      const score = rendezvousHash.RendezvousHash.computeScore(service, candidate.name);
      const best = places.get(candidate.place);
      if (best === undefined) places.set(candidate.place, [{ candidate, score }]);
      else if (best.length < MAX_FRONTING_SIZE || score >= best[best.length - 1]!.score) {
        FrontingSet.insertScored(best, { candidate, score });
      }
    });
    return [...places.values()].flatMap((best) => best.map((scored) => scored.candidate));
  }

  private static insertScored<Candidate>(best: ScoredCandidate<Candidate>[], scored: ScoredCandidate<Candidate>): void {
    const position = best.findIndex((other) => other.score < scored.score);
    best.splice(position < 0 ? best.length : position, 0, scored);
    if (best.length > MAX_FRONTING_SIZE) best.pop();
  }
}
