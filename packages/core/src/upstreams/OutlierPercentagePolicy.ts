import * as baselinePolicy from './BaselinePolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

const BAD_SHARE_MAX = 0.25;

const ATTEMPTS_MIN = 10;

const EJECTED_SHARE_MAX = 0.2;

/** Reference policy that ejects instances whose share of bad attempts exceeds a fixed percentage, up to a maximum share of instances. */
export class OutlierPercentagePolicy extends baselinePolicy.BaselinePolicy {
  override decide(health: instanceHealth.InstanceHealth): 'keep' | 'eject' {
    const attempts = health.good + health.bad;
    return attempts >= ATTEMPTS_MIN && health.bad > BAD_SHARE_MAX * attempts && health.ejectedShare < EJECTED_SHARE_MAX ? 'eject' : 'keep';
  }
}
