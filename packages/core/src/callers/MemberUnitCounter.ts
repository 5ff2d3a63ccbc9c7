import type * as contracts from '../contracts/index.js';

/** Request that has ended, as a member counts it. */
export interface CountedRequest {
  readonly kind: contracts.RequestKind;
  readonly timeliness: 'on-time' | 'late' | 'unanswered';
}

/** Counts the service that a member received, in the member's own units. */
export abstract class MemberUnitCounter {
  private served = 0;

  private asked = 0;

  /** Gets the units that were served and asked for. */
  getUnits(): { readonly served: number; readonly asked: number } {
    return { served: this.served, asked: this.asked };
  }

  /**
   * Counts a request that has ended.
   * @param request - Request to count.
   */
  addRequest(request: CountedRequest): void {
    const units = this.computeUnits(request.kind);
    this.asked += units;
    if (request.timeliness === 'on-time') this.served += units;
  }

  /**
   * Computes the units that a request of a kind counts for.
   * @param kind - Kind of the request.
   */
  protected abstract computeUnits(kind: contracts.RequestKind): number;
}
