import * as placementPolicy from './PlacementPolicy.js';

// A request that may be repeated loses only time at a failing instance.
const FAILURE_WEIGHT = 0.3;

const LOAD_WEIGHT = 0.03;

// Draws trial requests to instances that were not used for a while, so that all are known when they are needed. Smaller than
// the cost of another place: each place tries its own instances and tells the others.
const MAX_IDLE_REDUCTION = 0.03;
const FULL_REDUCTION_IDLE_MS = 2_000;

/** Sends requests that may be repeated to instances of which little is known. */
export class ExploringPlacement extends placementPolicy.PlacementPolicy {
  protected override computeKindCost(candidate: placementPolicy.PlacementCandidate): number {
    const idleShare = Math.min(1, candidate.idleMs / FULL_REDUCTION_IDLE_MS);
    return FAILURE_WEIGHT * candidate.failure + LOAD_WEIGHT * candidate.load - MAX_IDLE_REDUCTION * idleShare;
  }
}
