import type * as contracts from '../contracts/index.js';
import * as memberUnitCounter from './MemberUnitCounter.js';

/** Counts each request as the number of units that its kind declares as its weight. */
export class WeightedOnTimeCounter extends memberUnitCounter.MemberUnitCounter {
  protected override computeUnits(kind: contracts.RequestKind): number {
    return kind.weight;
  }
}
