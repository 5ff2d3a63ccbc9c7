import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: does not filter out VMs that are leaving or unreachable. */
export class UnfilteredAddressSelectionPolicy extends core.callers.AddressSelectionPolicy {
  override isUsable(): boolean {
    return true;
  }
}
