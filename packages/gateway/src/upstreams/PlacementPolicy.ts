/** What placement knows of one instance that has room. */
export interface PlacementCandidate {
  /** Probability that a request sent now gets no good answer. */
  readonly failure: number;
  /** Load in relation to its slots, from 0 to below 1. */
  readonly load: number;
  readonly distance: 'same-place' | 'other-place';
  readonly condition: 'warm' | 'warming';
  /** Time since this VM last sent it a request, in milliseconds. */
  readonly idleMs: number;
}

// A request to another place takes about 9 ms longer and its bytes are charged; it is worth that to avoid a doubtful instance.
const OTHER_PLACE_COST = 0.08;

// An instance that is still slow takes about twice as long.
const WARMING_COST = 0.05;

/** Decides which instance a request is sent to: the one with the lowest cost, in shares of a lost request. */
export abstract class PlacementPolicy {
  /**
   * Computes the cost of sending a request to an instance.
   * @param candidate - Instance that has room.
   */
  computeCost(candidate: PlacementCandidate): number {
    const distance = candidate.distance === 'other-place' ? OTHER_PLACE_COST : 0;
    const condition = candidate.condition === 'warming' ? WARMING_COST : 0;
    return this.computeKindCost(candidate) + distance + condition;
  }

  /**
   * Computes the part of the cost that depends on the kind of the request.
   * @param candidate - Instance that has room.
   */
  protected abstract computeKindCost(candidate: PlacementCandidate): number;
}
