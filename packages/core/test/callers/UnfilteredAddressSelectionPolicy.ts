import * as core from '@tamarackferry/core';

/** Fault: lists all VMs, also those that are leaving or unreachable. */
export class UnfilteredAddressSelectionPolicy extends core.callers.AddressSelectionPolicy {
  override isUsable(): boolean {
    return true;
  }
}
