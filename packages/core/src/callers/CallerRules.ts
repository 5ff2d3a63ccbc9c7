import type * as contracts from '../contracts/index.js';
import * as places from '../places/index.js';
import type * as randomness from '../randomness/index.js';
import * as addressChoice from './AddressChoice.js';
import * as lookupsOnTimeCount from './LookupsOnTimeCount.js';
import type * as memberCount from './MemberCount.js';
import * as weightedOnTimeCount from './WeightedOnTimeCount.js';

/** Creates the rules and policies that the tasks for callers decide by. A subclass replaces single rules. */
export class CallerRules {
  /** Creates the rule that chooses the VMs that callers of a service are sent to. */
  createFrontingSet(): places.FrontingSet {
    return new places.FrontingSet();
  }

  /**
   * Creates the rule that chooses the addresses of one answer.
   * @param random - Source of randomness.
   */
  createAddressChoice(random: randomness.RandomSource): addressChoice.AddressChoice {
    return new addressChoice.AddressChoice(random);
  }

  /**
   * Creates the count of a member.
   * @param counting - How the member counts the service that it received.
   */
  createMemberCount(counting: contracts.MemberContract['counting']): memberCount.MemberCount {
    return counting === 'weighted-on-time' ? new weightedOnTimeCount.WeightedOnTimeCount() : new lookupsOnTimeCount.LookupsOnTimeCount();
  }
}
