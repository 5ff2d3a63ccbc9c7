import * as core from '@tamarackferry/core';

/** Defective variant for tests: any other incarnation replaces the current one at once. The test must fail with it. */
export class ImmediateIncarnationPolicy extends core.vms.IncarnationPolicy {
  override decide(): 'replace' {
    return 'replace';
  }
}
