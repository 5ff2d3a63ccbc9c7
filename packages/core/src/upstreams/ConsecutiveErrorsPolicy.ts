import * as baselinePolicy from './BaselinePolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

const ERRORS = 5;

/** Baseline that ejects an instance after a number of bad attempts in a row. */
export class ConsecutiveErrorsPolicy extends baselinePolicy.BaselinePolicy {
  override decide(known: instanceHealth.InstanceHealth): 'keep' | 'eject' {
    return known.consecutiveFailures >= ERRORS ? 'eject' : 'keep';
  }
}
