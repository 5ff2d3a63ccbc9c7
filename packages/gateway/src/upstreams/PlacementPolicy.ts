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
  /** Time since the latest evidence of a failure of the instance, in milliseconds. */
  readonly failureAgeMs: number;
}

/**
 * How well a service is served.
 * - `good`: requests go to the instances with the lowest cost.
 * - `poor`: many requests are not served, so that instances which stand aside are needed if they have recovered.
 */
export type ServiceCondition = 'good' | 'poor';

// A request to another place takes about 9 ms longer and its traffic is charged; that is acceptable to avoid an instance that probably
// fails.
const OTHER_PLACE_COST = 0.08;

// An instance that is warming up takes about twice as long to answer.
const WARMING_COST = 0.05;

// While a service is served poorly, an instance without a failure for this time is tried once no VM has used it for the idle time of the
// policy. Most of the sound instances of a service must receive requests within two seconds; the VMs of its own place try it first.
const TRIAL_FAILURE_AGE_MS = 2_000;
const OTHER_PLACE_TRIAL_DELAY_MS = 300;

// Below the cost of any instance that is not due for a trial.
const TRIAL_COST = -1;

/** Computes the cost of sending a request to an instance, where 1 is the cost of a lost request. The cheapest instance is chosen. */
export abstract class PlacementPolicy {
  /** Time without use after which an instance of a poorly served service is tried, in milliseconds. */
  protected abstract readonly trialIdleMs: number;

  /**
   * Computes the cost of sending a request to an instance.
   * @param candidate - Instance with free capacity.
   * @param condition - How well the service of the instance is served.
   */
  computeCost(candidate: PlacementCandidate, condition: ServiceCondition): number {
    if (this.needsTrial(candidate, condition)) return TRIAL_COST;
    const distanceCost = candidate.distance === 'other-place' ? OTHER_PLACE_COST : 0;
    const conditionCost = candidate.condition === 'warming' ? WARMING_COST : 0;
    return this.computeKindCost(candidate) + distanceCost + conditionCost;
  }

  /**
   * Whether the instance is to be tried next, because its service is served poorly and it may have recovered.
   * @param candidate - Instance.
   * @param condition - How well its service is served.
   */
  needsTrial(candidate: PlacementCandidate, condition: ServiceCondition): boolean {
    if (condition === 'good' || candidate.load >= 1 || candidate.failureAgeMs < TRIAL_FAILURE_AGE_MS) return false;
    return candidate.idleMs >= this.trialIdleMs + (candidate.distance === 'other-place' ? OTHER_PLACE_TRIAL_DELAY_MS : 0);
  }

  /**
   * Computes the part of the cost that depends on the kind of the request.
   * @param candidate - Instance with free capacity.
   */
  protected abstract computeKindCost(candidate: PlacementCandidate): number;
}
