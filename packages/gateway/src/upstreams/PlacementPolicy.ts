/** Properties of an instance with free capacity that determine its placement cost. */
export interface PlacementCandidate {
  /** Probability that a request sent now gets no successful answer. */
  readonly failure: number;
  /** Number of requests at the instance divided by its slots: 0 if idle, above 1 if requests are queued at it. */
  readonly load: number;
  readonly distance: 'same-place' | 'other-place';
  /** Whether it is warming up after its start. */
  readonly condition: 'warm' | 'warming';
  /** Time since a VM is known to have sent it a request, in milliseconds. */
  readonly idleMs: number;
}

// A request to another place takes about 9 ms longer and its traffic is charged; that is acceptable to avoid an instance that probably
// fails.
const OTHER_PLACE_COST = 0.08;

// An instance that is warming up takes about twice as long to answer.
const WARMING_COST = 0.05;

/** Computes the cost of sending a request to an instance, where 1 is the cost of a lost request. The cheapest instance is chosen. */
export abstract class PlacementPolicy {
  /**
   * Computes the cost of sending a request to an instance.
   * @param candidate - Instance with free capacity.
   */
  computeCost(candidate: PlacementCandidate): number {
    const distanceCost = candidate.distance === 'other-place' ? OTHER_PLACE_COST : 0;
    const conditionCost = candidate.condition === 'warming' ? WARMING_COST : 0;
    return this.computeKindCost(candidate) + distanceCost + conditionCost;
  }

  /**
   * Computes the part of the cost that depends on the kind of the request.
   * @param candidate - Instance with free capacity.
   */
  protected abstract computeKindCost(candidate: PlacementCandidate): number;
}
