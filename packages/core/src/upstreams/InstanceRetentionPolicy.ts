import type * as instance from './Instance.js';

const CONSECUTIVE_FAILURES_LIMIT = 3;

const IDLE_MAX_MS = 300_000;

/**
 * Decides what becomes of instances that vanish from the list. The list lags and may be wrong, so a list that drops more than half
 * of the instances is not followed: they stay in use until they fail or serve nothing for a while.
 */
export class InstanceRetentionPolicy {
  /**
   * Decides whether vanished instances are kept in service.
   * @param listed - Instances that the list before named as live and that are not leaving.
   * @param vanished - Those of them that the new list does not name.
   */
  shouldRetain(listed: readonly instance.Instance[], vanished: readonly instance.Instance[]): boolean {
    return vanished.length * 2 > listed.length;
  }

  /**
   * Decides whether a retained instance stays in service.
   * @param retained - Instance that the list does not name.
   * @param retainedSinceMs - Time at which it vanished, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  shouldKeep(retained: instance.Instance, retainedSinceMs: number, nowMs: number): boolean {
    return retained.observations.getConsecutiveFailures() < CONSECUTIVE_FAILURES_LIMIT
      && nowMs - Math.max(retainedSinceMs, retained.lastAnswerAtMs) < IDLE_MAX_MS;
  }
}
