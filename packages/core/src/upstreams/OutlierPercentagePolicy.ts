import * as baselinePolicy from './BaselinePolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

const BAD_SHARE_MAX = 0.25;

const ATTEMPTS_MIN = 10;

const EJECTED_SHARE_MAX = 0.2;

/** Baseline policy that ejects an instance if its share of bad attempts exceeds a maximum, unless too many are ejected already. */
export class OutlierPercentagePolicy extends baselinePolicy.BaselinePolicy {
  override decide(health: instanceHealth.InstanceHealth): 'keep' | 'eject' {
    const attempts = health.good + health.bad;
    return attempts >= ATTEMPTS_MIN && health.bad > BAD_SHARE_MAX * attempts && health.ejectedShare < EJECTED_SHARE_MAX ? 'eject' : 'keep';
  }
}
