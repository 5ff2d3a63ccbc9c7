import type * as contracts from '../contracts/index.js';
import * as memberUnitCounter from './MemberUnitCounter.js';

/** Counts each lookup (idempotent request) as 1 unit and other requests as 0 units. */
export class LookupsOnTimeCounter extends memberUnitCounter.MemberUnitCounter {
  protected override computeUnits(kind: contracts.RequestKind): number {
    return kind.repeatability === 'idempotent' ? 1 : 0;
  }
}
