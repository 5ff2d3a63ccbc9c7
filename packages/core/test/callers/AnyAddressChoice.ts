import * as core from '@tamarackferry/core';

/** Faulty rule: callers are sent to any known VM. */
export class AnyAddressChoice extends core.callers.AddressChoice {
  override isUsable(): boolean {
    return true;
  }
}
