import * as placementPolicy from './PlacementPolicy.js';

// Weight of the failure probability. It is low, since an idempotent request that fails can be retried and loses only time.
const FAILURE_WEIGHT = 0.3;

const LOAD_WEIGHT = 0.03;

// Cost reduction for instances that have been idle. Idempotent requests thus explore them, so that the health of all instances is known
// when they are needed. It is smaller than the cost of another place, since the VMs of each place explore the instances of their own
// place and send the evidence to the others.
const MAX_IDLE_REDUCTION = 0.03;
const FULL_REDUCTION_IDLE_MS = 2_000;

/** Placement of idempotent requests, which also go to instances whose health is not well known. */
export class ExploringPlacement extends placementPolicy.PlacementPolicy {
  protected override readonly trialIdleMs = 1_000;

  protected override computeKindCost(candidate: placementPolicy.PlacementCandidate): number {
    const idleShare = Math.min(1, candidate.idleMs / FULL_REDUCTION_IDLE_MS);
    return FAILURE_WEIGHT * candidate.failure + LOAD_WEIGHT * candidate.load - MAX_IDLE_REDUCTION * idleShare;
  }
}
