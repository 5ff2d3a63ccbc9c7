import type * as instanceHealth from './InstanceHealth.js';

/** Decides from the health of an instance whether its weight is reduced or it is ejected. `CapacityFloor` can still forbid an ejection. */
export abstract class DetectionPolicy {
  /**
   * Computes the weight of an instance in the random choice, between the trial share and 1.
   * @param health - Observations and reports about the instance.
   */
  abstract computeWeight(health: instanceHealth.InstanceHealth): number;

  /**
   * Decides whether an instance is to be ejected.
   * @param health - Observations and reports about the instance.
   */
  abstract decide(health: instanceHealth.InstanceHealth): 'keep' | 'eject';

  /**
   * Decides whether an instance is suspected. The VM then requests evidence from peers and sends probes, and the instance no longer
   * counts for the floor.
   * @param health - Observations and reports about the instance.
   */
  abstract isSuspected(health: instanceHealth.InstanceHealth): boolean;

  /**
   * Computes the duration of an ejection, in milliseconds.
   * @param earlierEjections - Number of earlier ejections that still count.
   */
  abstract computeEjectionMs(earlierEjections: number): number;

  /**
   * Computes the failure score that an instance on trial begins with, undefined if it returns at its full weight.
   * @param ejections - Number of ejections that still count, at least 1.
   */
  abstract computeTrialFailureScore(ejections: number): number | undefined;
}
