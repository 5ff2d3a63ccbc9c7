import type * as contracts from '../contracts/index.js';

/** Ended request with the properties that the counting depends on. */
export interface CountedRequest {
  readonly kind: contracts.RequestKind;
  readonly timeliness: 'on-time' | 'late' | 'unanswered';
}

/** Counts the requests of one member in units. A unit is served if its request was answered within the on-time limit of its kind. */
export abstract class MemberUnitCounter {
  private served = 0;

  private asked = 0;

  /** Gets the numbers of units served and requested. */
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
   * Computes the units of a request.
   * @param kind - Kind of the request.
   */
  protected abstract computeUnits(kind: contracts.RequestKind): number;
}
