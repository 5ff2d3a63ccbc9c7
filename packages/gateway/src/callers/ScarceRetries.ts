/** Ranks of a request: those of its tenant and of its route. */
export interface RequestRanks {
  readonly tenantRank: number;
  readonly routeRank: number;
}

interface Denial {
  readonly ranks: RequestRanks;
  readonly atMs: number;
}

// After a retry was denied, retries of less urgent requests leave the budget to its ranks for this time: long enough for the budget to
// regain some retries, short enough to end with the failure of the instances.
const RESERVE_MS = 1_000;

/**
 * Decides who gets the retries when there are fewer than are needed: as long as retries of more urgent ranks are denied for want of budget,
 * less urgent requests get none. Answers `SHEDDING_KINDS`: in the order in which attempts fail, all kinds lost equally many requests.
 */
export class ScarceRetries {
  // The most urgent ranks whose retry was denied lately.
  private denial: Denial | undefined;

  /**
   * Whether a retry must leave the budget to more urgent requests.
   * @param ranks - Ranks of the request.
   * @param nowMs - Current time.
   */
  isReserved(ranks: RequestRanks, nowMs: number): boolean {
    return this.denial !== undefined && nowMs - this.denial.atMs < RESERVE_MS && ScarceRetries.compare(this.denial.ranks, ranks) < 0;
  }

  /**
   * Records that a retry was denied because the budget was used up.
   * @param ranks - Ranks of the request.
   * @param nowMs - Current time.
   */
  recordDenial(ranks: RequestRanks, nowMs: number): void {
    if (!this.isReserved(ranks, nowMs)) this.denial = { ranks, atMs: nowMs };
  }

  private static compare(left: RequestRanks, right: RequestRanks): number {
    return left.tenantRank - right.tenantRank || left.routeRank - right.routeRank;
  }
}
