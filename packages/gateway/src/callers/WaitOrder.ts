/**
 * Claim of a waiting request on the next free slot.
 * - `starved`: its ranks are served far less often than all requests.
 * - `usual`: its ranks decide.
 * - `excess`: its tenant has sent more than its share, so that it has the least urgent rank of the waiting tenants.
 */
export type WaitClaim = 'starved' | 'usual' | 'excess';

/** What decides the place of a request in the order of waiting requests. */
export interface WaitPosition {
  readonly claim: WaitClaim;
  readonly tenantRank: number;
  readonly routeRank: number;
  /** Whether the request can still be answered within its latency objective. */
  readonly timeliness: 'in-time' | 'late';
  /** Virtual time that fair queueing has assigned to the request. */
  readonly start: number;
  readonly arrivedAtMs: number;
}

const CLAIMS: Readonly<Record<WaitClaim, number>> = { starved: 0, usual: 1, excess: 1 };

const TIMELINESS: Readonly<Record<WaitPosition['timeliness'], number>> = { 'in-time': 0, late: 1 };

/**
 * Order of the waiting requests of a service: rank of the tenant, rank of the route, fair among the tenants, oldest first. A request that
 * can no longer be answered in time yields to others of its ranks that can, since it would make them late as well. Answers `KIND_BURST`:
 * by arrival times that are shifted by a fixed time for each rank, urgent requests with a short objective were refused most often.
 */
export class WaitOrder {
  /**
   * Compares two requests. Negative if the first one is served before the second.
   * @param left - First request.
   * @param right - Second request.
   */
  static compare(left: WaitPosition, right: WaitPosition): number {
    return CLAIMS[left.claim] - CLAIMS[right.claim]
      || left.tenantRank - right.tenantRank
      || left.routeRank - right.routeRank
      || TIMELINESS[left.timeliness] - TIMELINESS[right.timeliness]
      || left.start - right.start
      || left.arrivedAtMs - right.arrivedAtMs;
  }
}
