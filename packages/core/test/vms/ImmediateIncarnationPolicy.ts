import * as core from '@tamarackferry/core';

/** Faulty rule: any other incarnation replaces the present one at once. */
export class ImmediateIncarnationPolicy extends core.vms.IncarnationPolicy {
  override decide(): 'replace' {
    return 'replace';
  }
}
