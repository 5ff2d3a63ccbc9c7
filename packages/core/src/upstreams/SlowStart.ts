/** Trial share, the minimum weight of an instance in rotation. Deprioritized, cold and reinstated instances can have this weight. */
export const TRIAL_SHARE = 0.05;

const RAMP_MS = 10_000;

/** Slow start of cold instances: weight and concurrency limit rise linearly. */
export class SlowStart {
  /**
   * Computes the share of the full weight and limit that an instance has reached, between the trial share and 1.
   * @param coldSinceMs - Time at which a cold instance was first listed, in milliseconds; -Infinity for a warm one.
   * @param nowMs - Current time, in milliseconds.
   */
  computeRamp(coldSinceMs: number, nowMs: number): number {
    return Math.min(1, Math.max(TRIAL_SHARE, (nowMs - coldSinceMs) / RAMP_MS));
  }
}
