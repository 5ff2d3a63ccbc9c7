import * as baselinePolicy from './BaselinePolicy.js';

/** Baseline policy that ejects no instance. */
export class NoEjectionPolicy extends baselinePolicy.BaselinePolicy {
  override decide(): 'keep' | 'eject' {
    return 'keep';
  }
}
