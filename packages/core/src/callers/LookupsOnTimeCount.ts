import type * as contracts from '../contracts/index.js';
import * as memberCount from './MemberCount.js';

/** Counts lookups, which are the idempotent requests, answered within the time limit of their kind. */
export class LookupsOnTimeCount extends memberCount.MemberCount {
  protected override computeUnits(kind: contracts.RequestKind): number {
    return kind.repeatability === 'idempotent' ? 1 : 0;
  }
}
