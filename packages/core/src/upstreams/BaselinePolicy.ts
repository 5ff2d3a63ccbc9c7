import * as detectionPolicy from './DetectionPolicy.js';

const EJECTION_MS = 30_000;

const EJECTION_MAX_MS = 300_000;

/** Base of the policies that the others are measured against: no steering, no peers, no trial. */
export abstract class BaselinePolicy extends detectionPolicy.DetectionPolicy {
  override computeWeight(): number {
    return 1;
  }

  override isSuspect(): boolean {
    return false;
  }

  override computeEjectionMs(earlierEjections: number): number {
    return Math.min(EJECTION_MAX_MS, EJECTION_MS * (earlierEjections + 1));
  }

  override computeTrialFailureScore(): undefined {
    return undefined;
  }
}
