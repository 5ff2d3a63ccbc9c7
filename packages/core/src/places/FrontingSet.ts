import * as placeSpread from './PlaceSpread.js';
import * as rendezvousHash from './RendezvousHash.js';

const FRONTING_SIZE = 12;

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
   */
  chooseMembers<Candidate extends FrontingCandidate>(service: string, candidates: readonly Candidate[]): Candidate[] {
    const best = FrontingSet.selectBest(service, candidates);
    const ranked = rendezvousHash.RendezvousHash.rankItems(service, best, (candidate) => candidate.name);
    return placeSpread.PlaceSpread.takeEvenly(ranked, (candidate) => candidate.place, FRONTING_SIZE);
  }

  // Only the best of each place can be chosen. Sorting all of 6,400 VMs for each service took most of the time.
  private static selectBest<Candidate extends FrontingCandidate>(service: string, candidates: readonly Candidate[]): Candidate[] {
    const places = new Map<string, ScoredCandidate<Candidate>[]>();
    candidates.forEach((candidate) => {
      const score = rendezvousHash.RendezvousHash.computeScore(service, candidate.name);
      const best = places.get(candidate.place);
      if (best === undefined) places.set(candidate.place, [{ candidate, score }]);
      else if (best.length < FRONTING_SIZE || score >= best[best.length - 1]!.score) FrontingSet.insertScored(best, { candidate, score });
    });
    return [...places.values()].flatMap((best) => best.map((scored) => scored.candidate));
  }

  private static insertScored<Candidate>(best: ScoredCandidate<Candidate>[], scored: ScoredCandidate<Candidate>): void {
    const position = best.findIndex((other) => other.score < scored.score);
    best.splice(position < 0 ? best.length : position, 0, scored);
    if (best.length > FRONTING_SIZE) best.pop();
  }
}
