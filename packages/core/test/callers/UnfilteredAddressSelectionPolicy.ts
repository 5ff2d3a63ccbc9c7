import * as core from '@tamarackferry/core';

/** Faulty rule: callers are sent to any known VM. */
export class UnfilteredAddressSelectionPolicy extends core.callers.AddressSelectionPolicy {
  override isUsable(): boolean {
    return true;
  }
}
