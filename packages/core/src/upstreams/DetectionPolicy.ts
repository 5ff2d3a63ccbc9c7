import type * as instanceHealth from './InstanceHealth.js';

/** Decides from evidence which instances are steered around and which are ejected. The floor is checked elsewhere. */
export abstract class DetectionPolicy {
  /**
   * Weighs an instance for the random choice, between the trial share and 1.
   * @param known - What is known about the instance.
   */
  abstract computeWeight(health: instanceHealth.InstanceHealth): number;

  /**
   * Decides whether an instance is to be ejected.
   * @param known - What is known about the instance.
   */
  abstract decide(health: instanceHealth.InstanceHealth): 'keep' | 'eject';

  /**
   * Decides whether an instance is doubted: peers are asked, probes are sent, and it no longer counts for the floor.
   * @param known - What is known about the instance.
   */
  abstract isSuspect(health: instanceHealth.InstanceHealth): boolean;

  /**
   * Computes the time of an ejection, in milliseconds.
   * @param earlier - Earlier ejections that still count.
   */
  abstract computeEjectionMs(earlierEjections: number): number;

  /**
   * Computes the score that a returning instance begins with, undefined if it returns at its full weight.
   * @param ejections - Ejections that still count, at least 1.
   */
  abstract computeTrialFailureScore(ejections: number): number | undefined;
}
