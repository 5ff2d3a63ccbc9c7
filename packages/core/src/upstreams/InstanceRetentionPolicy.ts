import type * as instance from './Instance.js';

const CONSECUTIVE_FAILURES_LIMIT = 3;

const IDLE_MAX_MS = 300_000;

/**
 * Decides whether instances that vanished from the list of the platform stay in use. The list lags and may be wrong, so if a new list
 * lacks more than half of the instances, these stay in use until they fail or give no answer for some time.
 */
export class InstanceRetentionPolicy {
  /**
   * Decides whether vanished instances stay in use.
   * @param listed - Live instances of the previous list.
   * @param vanished - Those of them that the new list does not contain.
   */
  shouldRetain(listed: readonly instance.Instance[], vanished: readonly instance.Instance[]): boolean {
    return vanished.length * 2 > listed.length;
  }

  /**
   * Decides whether a retained instance still stays in use.
   * @param retained - Instance that vanished from the list.
   * @param retainedSinceMs - Time at which it vanished from the list, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  shouldKeep(retained: instance.Instance, retainedSinceMs: number, nowMs: number): boolean {
    return retained.observations.getConsecutiveFailures() < CONSECUTIVE_FAILURES_LIMIT
      && nowMs - Math.max(retainedSinceMs, retained.lastAnswerAtMs) < IDLE_MAX_MS;
  }
}
