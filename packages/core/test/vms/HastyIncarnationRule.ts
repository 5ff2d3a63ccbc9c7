import * as core from '@tamarackferry/core';

/** Faulty rule: any other incarnation replaces the present one at once. */
export class HastyIncarnationRule extends core.vms.IncarnationRule {
  override decide(): 'replace' {
    return 'replace';
  }
}
