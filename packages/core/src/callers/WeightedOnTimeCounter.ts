import type * as contracts from '../contracts/index.js';
import * as memberUnitCounter from './MemberUnitCounter.js';

/** Counts requests answered on time, weighted by kind. */
export class WeightedOnTimeCounter extends memberUnitCounter.MemberUnitCounter {
  protected override computeUnits(kind: contracts.RequestKind): number {
    return kind.weight;
  }
}
