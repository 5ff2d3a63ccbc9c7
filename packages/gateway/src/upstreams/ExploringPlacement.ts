import * as placementPolicy from './PlacementPolicy.js';

// A request that may be repeated loses only time at a failing instance.
const FAILURE_SHARE = 0.3;

const LOAD_COST = 0.03;

// Draws trial requests to instances that were not used for a while, so that all are known when they are needed. Smaller than
// the cost of another place: each place tries its own instances and tells the others.
const IDLE_GAIN = 0.03;
const IDLE_SPAN_MS = 2_000;

/** Sends requests that may be repeated to instances of which little is known. */
export class ExploringPlacement extends placementPolicy.PlacementPolicy {
  protected override computeKindCost(candidate: placementPolicy.PlacementCandidate): number {
    const idle = Math.min(1, candidate.idleMs / IDLE_SPAN_MS);
    return FAILURE_SHARE * candidate.failure + LOAD_COST * candidate.load - IDLE_GAIN * idle;
  }
}
