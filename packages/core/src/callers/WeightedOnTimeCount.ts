import type * as contracts from '../contracts/index.js';
import * as memberCount from './MemberCount.js';

/** Counts requests answered on time, weighted by kind. */
export class WeightedOnTimeCount extends memberCount.MemberCount {
  protected override computeUnits(kind: contracts.RequestKind): number {
    return kind.weight;
  }
}
