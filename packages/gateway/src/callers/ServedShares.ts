// Requests count for about this time.
const DECAY_MS = 5_000;

// A group is starved if its share of sent requests is below this part of that of all requests. The users require a quarter; the rest allows
// for requests that are sent and not served, and for the delay with which the counts follow.
const STARVED_PART = 0.4;

// Fewer requests than this are no sample.
const MIN_REQUESTS = 3;

interface Counts {
  arrived: number;
  sent: number;
  atMs: number;
}

/**
 * Recent requests of a service by group (rank of the tenant and of the route), and how many of them were sent to an instance. A group that
 * is sent far less often than all requests goes first until it is not, so that the order by rank starves none. Answers `KIND_BURST_SLOW`
 * and `TWO_TENANT_BURST_SLOW`.
 */
export class ServedShares {
  private readonly groups = new Map<string, Counts>();

  /**
   * Counts a request that has arrived.
   * @param group - Group of the request.
   * @param nowMs - Current time.
   */
  recordArrival(group: string, nowMs: number): void {
    this.getCounts(group, nowMs).arrived += 1;
  }

  /**
   * Counts a request that is sent for the first time.
   * @param group - Group of the request.
   * @param nowMs - Current time.
   */
  recordSent(group: string, nowMs: number): void {
    this.getCounts(group, nowMs).sent += 1;
  }

  /**
   * Lists the groups that are sent far less often than all requests.
   * @param nowMs - Current time.
   */
  listStarved(nowMs: number): ReadonlySet<string> {
    const counted = [...this.groups.keys()].map((group) => ({ group, ...this.getCounts(group, nowMs) }));
    const arrived = counted.reduce((sum, counts) => sum + counts.arrived, 0);
    const sent = counted.reduce((sum, counts) => sum + counts.sent, 0);
    return new Set(counted
      .filter((counts) => counts.arrived >= MIN_REQUESTS && counts.sent * arrived < STARVED_PART * sent * counts.arrived)
      .map(({ group }) => group));
  }

  private getCounts(group: string, nowMs: number): Counts {
    const existing = this.groups.get(group);
    if (existing === undefined) {
      const created = { arrived: 0, sent: 0, atMs: nowMs };
      this.groups.set(group, created);
      return created;
    }
    const kept = Math.exp((existing.atMs - nowMs) / DECAY_MS);
    Object.assign(existing, { arrived: existing.arrived * kept, sent: existing.sent * kept, atMs: nowMs });
    return existing;
  }
}
