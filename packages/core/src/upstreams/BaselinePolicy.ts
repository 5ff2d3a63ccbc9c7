import * as detectionPolicy from './DetectionPolicy.js';

const EJECTION_MS = 30_000;

const EJECTION_MAX_MS = 300_000;

/**
 * Base class of the simple policies that serve as a baseline in comparisons. They never reduce the weight of an instance, ignore
 * the evidence of peers, and return an ejected instance at full weight.
 */
export abstract class BaselinePolicy extends detectionPolicy.DetectionPolicy {
  override computeWeight(): number {
    return 1;
  }

  override isSuspected(): boolean {
    return false;
  }

  override computeEjectionMs(earlierEjections: number): number {
    return Math.min(EJECTION_MAX_MS, EJECTION_MS * (earlierEjections + 1));
  }

  override computeTrialFailureScore(): undefined {
    return undefined;
  }
}
