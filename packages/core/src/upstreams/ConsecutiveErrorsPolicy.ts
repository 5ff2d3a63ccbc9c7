import * as baselinePolicy from './BaselinePolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

const EJECTION_FAILURES = 5;

/** Baseline policy that ejects an instance after a fixed number of consecutive failures. */
export class ConsecutiveErrorsPolicy extends baselinePolicy.BaselinePolicy {
  override decide(health: instanceHealth.InstanceHealth): 'keep' | 'eject' {
    return health.consecutiveFailures >= EJECTION_FAILURES ? 'eject' : 'keep';
  }
}
