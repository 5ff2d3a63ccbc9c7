import type * as contracts from '../contracts/index.js';
import * as memberUnitCounter from './MemberUnitCounter.js';

/** Counts lookups, which are the idempotent requests, answered within the time limit of their kind. */
export class LookupsOnTimeCounter extends memberUnitCounter.MemberUnitCounter {
  protected override computeUnits(kind: contracts.RequestKind): number {
    return kind.repeatability === 'idempotent' ? 1 : 0;
  }
}
