import * as core from '@tamarackferry/core';

/** Faulty policy: any other incarnation replaces the current one at once. */
export class ImmediateIncarnationPolicy extends core.vms.IncarnationPolicy {
  override decide(): 'replace' {
    return 'replace';
  }
}
