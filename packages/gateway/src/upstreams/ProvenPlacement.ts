import * as placementPolicy from './PlacementPolicy.js';

// Weight of the load. It is low, so that requests stay at instances that answered recently, but sufficient to leave free capacity at each
// of them.
const LOAD_WEIGHT = 0.03;

// Cost reduction for instances that have been idle. A new instance must receive a request within four seconds, so the reduction outweighs
// the prior failure probability. It does not outweigh evidence of a failure or the cost of another place in addition.
const MAX_IDLE_REDUCTION = 0.1;
const FULL_REDUCTION_IDLE_MS = 4_000;

/** Placement of non-idempotent requests, which go to instances that recently answered successfully. */
export class ProvenPlacement extends placementPolicy.PlacementPolicy {
  // Longer than for idempotent requests, which lose only time at an instance that still fails.
  protected override readonly trialIdleMs = 1_500;

  protected override computeKindCost(candidate: placementPolicy.PlacementCandidate): number {
    return candidate.failure + LOAD_WEIGHT * candidate.load - MAX_IDLE_REDUCTION * Math.min(1, candidate.idleMs / FULL_REDUCTION_IDLE_MS);
  }
}
