/** Smallest weight of an instance in rotation: the share that a steered, cold or returning instance gets. */
export const TRIAL_SHARE = 0.05;

const RAMP_MS = 10_000;

/** Rise of the weight of a cold instance. */
export class SlowStart {
  /**
   * Computes the share of its weight and limit that an instance has reached from the time since it was first listed.
   * @param coldSinceMs - Time at which a cold instance was first listed; -Infinity for a warm one.
   * @param nowMs - Current time, in milliseconds.
   */
  computeRamp(coldSinceMs: number, nowMs: number): number {
    return Math.min(1, Math.max(TRIAL_SHARE, (nowMs - coldSinceMs) / RAMP_MS));
  }
}
