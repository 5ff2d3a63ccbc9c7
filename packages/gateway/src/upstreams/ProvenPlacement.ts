import * as placementPolicy from './PlacementPolicy.js';

// Keeps requests on instances that answered lately, but leaves room at each of them.
const LOAD_WEIGHT = 0.03;

// Gives an instance its share before the four seconds have passed in which one that joined must get a request: the gain
// outweighs that nothing is known of it, but neither a doubt nor another place.
const MAX_IDLE_REDUCTION = 0.1;
const FULL_REDUCTION_IDLE_MS = 4_000;

/** Sends requests that cannot be repeated to instances that have lately answered well. */
export class ProvenPlacement extends placementPolicy.PlacementPolicy {
  protected override computeKindCost(candidate: placementPolicy.PlacementCandidate): number {
    return candidate.failure + LOAD_WEIGHT * candidate.load - MAX_IDLE_REDUCTION * Math.min(1, candidate.idleMs / FULL_REDUCTION_IDLE_MS);
  }
}
