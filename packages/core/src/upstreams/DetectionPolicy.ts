import type * as suspicion from './Suspicion.js';

/** Decides from evidence which instances are steered around and which are ejected. The floor is checked elsewhere. */
export abstract class DetectionPolicy {
  /**
   * Weighs an instance for the random choice, between the trial share and 1.
   * @param known - What is known about the instance.
   */
  abstract weigh(known: suspicion.Suspicion): number;

  /**
   * Decides whether an instance is to be ejected.
   * @param known - What is known about the instance.
   */
  abstract decide(known: suspicion.Suspicion): 'keep' | 'eject';

  /**
   * Decides whether an instance is doubted: peers are asked, probes are sent, and it no longer counts for the floor.
   * @param known - What is known about the instance.
   */
  abstract isSuspect(known: suspicion.Suspicion): boolean;

  /**
   * Computes the time of an ejection, in milliseconds.
   * @param earlier - Earlier ejections that still count.
   */
  abstract computeEjectionMs(earlier: number): number;

  /**
   * Computes the score that a returning instance begins with, undefined if it returns at its full weight.
   * @param ejections - Ejections that still count, at least 1.
   */
  abstract computeTrialScore(ejections: number): number | undefined;
}
