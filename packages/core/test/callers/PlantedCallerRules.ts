import * as core from '@tamarackferry/core';

import * as anyAddressChoice from './AnyAddressChoice.js';

/** Rules with a faulty choice of addresses. */
export class PlantedCallerRules extends core.callers.CallerRules {
  override createAddressChoice(random: core.randomness.RandomSource): core.callers.AddressChoice {
    return new anyAddressChoice.AnyAddressChoice(random);
  }
}
