import * as placementPolicy from './PlacementPolicy.js';

// Keeps requests on instances that answered lately, but leaves room at each of them.
const LOAD_COST = 0.03;

/** Sends requests that cannot be repeated to instances that have lately answered well. */
export class ProvenPlacement extends placementPolicy.PlacementPolicy {
  protected override weighEvidence(candidate: placementPolicy.PlacementCandidate): number {
    return candidate.failure + LOAD_COST * candidate.load;
  }
}
