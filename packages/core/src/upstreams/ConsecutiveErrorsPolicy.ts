import * as baselinePolicy from './BaselinePolicy.js';
import type * as suspicion from './Suspicion.js';

const ERRORS = 5;

/** Baseline that ejects an instance after a number of bad attempts in a row. */
export class ConsecutiveErrorsPolicy extends baselinePolicy.BaselinePolicy {
  override decide(known: suspicion.Suspicion): 'keep' | 'eject' {
    return known.consecutiveBad >= ERRORS ? 'eject' : 'keep';
  }
}
