import * as servedShares from './ServedShares.js';
import type * as routedRequest from './RoutedRequest.js';
import * as tenantShares from './TenantShares.js';
import * as urgencyPolicy from './UrgencyPolicy.js';
import * as waitOrder from './WaitOrder.js';

// Quantile of the answer durations of a route that decides whether a request can still be answered in time.
const TIMELY_QUANTILE = 0.5;

const EMPTY_PLACE: WaitPlace = { requestsAhead: 0, claim: 'usual', sharedHoldMs: Infinity };

// What the positions of all requests have in common at a time.
interface QueueView {
  readonly starved: ReadonlySet<string>;
  /** Requests of all tenants that are served while a request may wait. */
  readonly servable: number;
  /** Least urgent rank of the tenants of the requests. */
  readonly leastUrgentRank: number;
  /** Shortest time for which one of the requests may wait. */
  readonly holdMs: number;
  readonly nowMs: number;
}

/** Waiting request with its position in the order. */
export interface RankedRequest {
  readonly request: routedRequest.RoutedRequest;
  readonly position: waitOrder.WaitPosition;
  /** Shortest time for which one of the requests in the queue may wait, in milliseconds. */
  readonly sharedHoldMs: number;
}

/** Place that a request would have in the queue. */
export interface WaitPlace {
  /** Waiting requests that are served before it. */
  readonly requestsAhead: number;
  readonly claim: waitOrder.WaitClaim;
  /** Shortest time for which one of the requests in the queue may wait, in milliseconds. */
  readonly sharedHoldMs: number;
}

/** Requests of one service that wait for a free slot, in the order in which they are served. */
export class WaitQueue {
  private readonly waiting = new Set<routedRequest.RoutedRequest>();

  private readonly served = new servedShares.ServedShares();

  private readonly tenants = new tenantShares.TenantShares();

  // Virtual times of the requests of tenants that arrived while others waited.
  private readonly starts = new WeakMap<routedRequest.RoutedRequest, number>();

  /** @param estimateIntervalMs - Estimates the interval at which slots are released to this VM at a time; undefined if not known. */
  constructor(private readonly estimateIntervalMs: (nowMs: number) => number | undefined) {}

  /**
   * Counts a request that has arrived.
   * @param request - Request.
   * @param nowMs - Current time.
   */
  recordArrival(request: routedRequest.RoutedRequest, nowMs: number): void {
    this.served.recordArrival(WaitQueue.formatGroup(request), nowMs);
    if (this.waiting.size > 0) this.assignStart(request);
  }

  /**
   * Counts a request that is sent to an instance for the first time.
   * @param request - Request.
   * @param nowMs - Current time.
   */
  recordSent(request: routedRequest.RoutedRequest, nowMs: number): void {
    this.served.recordSent(WaitQueue.formatGroup(request), nowMs);
    if (this.starts.has(request)) this.tenants.recordServed();
  }

  /**
   * Adds a request.
   * @param added - Request for which no instance has a free slot.
   */
  add(added: routedRequest.RoutedRequest): void {
    this.assignStart(added);
    this.waiting.add(added);
  }

  /**
   * Removes a request if it is in the queue.
   * @param removed - Request that was sent or has ended.
   */
  remove(removed: routedRequest.RoutedRequest): void {
    if (this.waiting.delete(removed) && this.waiting.size === 0) this.tenants.clear();
  }

  /**
   * Gives a tenant back the share of its request that is refused before it was sent.
   * @param refused - Request.
   */
  release(refused: routedRequest.RoutedRequest): void {
    const tenant = refused.getTenant();
    if (tenant !== undefined && this.starts.delete(refused)) this.tenants.release(tenant.name);
  }

  /** Lists the requests in no particular order. */
  listWaiting(): readonly routedRequest.RoutedRequest[] {
    return [...this.waiting];
  }

  /**
   * Lists the requests in the order in which they are served.
   * @param nowMs - Current time.
   */
  listInOrder(nowMs: number): readonly RankedRequest[] {
    const view = this.buildView(this.listWaiting(), nowMs);
    return this.listWaiting()
      .map((request): RankedRequest => ({ request, position: this.buildPosition(request, view), sharedHoldMs: view.holdMs }))
      .sort((left, right) => waitOrder.WaitOrder.compare(left.position, right.position));
  }

  /** Counts the waiting requests. */
  countWaiting(): number {
    return this.waiting.size;
  }

  /**
   * Counts the waiting requests that are served before one that is not in the queue.
   * @param candidate - Request that may be added to the queue.
   * @param nowMs - Current time.
   */
  countServedBefore(candidate: routedRequest.RoutedRequest, nowMs: number): number {
    return this.findPlace(candidate, nowMs).requestsAhead;
  }

  /**
   * Finds the place that a request would have in the queue.
   * @param candidate - Request that may be added to the queue.
   * @param nowMs - Current time.
   */
  findPlace(candidate: routedRequest.RoutedRequest, nowMs: number): WaitPlace {
    if (this.waiting.size === 0) return EMPTY_PLACE;
    const view = this.buildView([...this.waiting, candidate], nowMs);
    const position = this.buildPosition(candidate, view);
    let count = 0;
    this.waiting.forEach((request) => {
      if (request !== candidate && waitOrder.WaitOrder.compare(this.buildPosition(request, view), position) <= 0) count += 1;
    });
    return { requestsAhead: count, claim: position.claim, sharedHoldMs: view.holdMs };
  }

  private assignStart(request: routedRequest.RoutedRequest): void {
    const tenant = request.getTenant();
    if (tenant === undefined || this.starts.has(request)) return;
    this.starts.set(request, this.tenants.assignStart({ tenant: tenant.name, weight: tenant.quota?.perSecond }));
  }

  // The share of a tenant is that of the shortest time for which one of the requests waits, so that it does not depend on the route.
  private buildView(requests: readonly routedRequest.RoutedRequest[], nowMs: number): QueueView {
    const intervalMs = this.estimateIntervalMs(nowMs);
    const holdMs = requests.reduce((shortest, { options: { arrival, route, deadlineAtMs } }) => Math.min(
      shortest,
      urgencyPolicy.UrgencyPolicy.computeMaxHoldMs(route.objectiveMs, deadlineAtMs - arrival.arrivedAtMs),
    ), Infinity);
    return {
      starved: this.served.listStarved(nowMs),
      servable: intervalMs === undefined ? Infinity : holdMs / intervalMs,
      leastUrgentRank: requests.reduce((least, request) => Math.max(least, request.getRanks().tenantRank), 0),
      holdMs,
      nowMs,
    };
  }

  private buildPosition(request: routedRequest.RoutedRequest, {
    starved, servable, leastUrgentRank, nowMs,
  }: QueueView): waitOrder.WaitPosition {
    const { arrival, route, durations } = request.options;
    const start = this.starts.get(request);
    const isExcess = start !== undefined && this.tenants.isExcess(start, servable);
    const isTimely = nowMs + durations.estimateQuantile(TIMELY_QUANTILE) <= arrival.arrivedAtMs + route.objectiveMs;
    return {
      claim: isExcess ? 'excess' : WaitQueue.chooseClaim(request, starved),
      tenantRank: isExcess ? leastUrgentRank : request.getRanks().tenantRank,
      // A retry yields to requests that wait for their first attempt.
      routeRank: route.rank + (request.countSent() > 0 ? 1 : 0),
      timeliness: isTimely ? 'in-time' : 'late',
      start: start ?? 0,
      arrivedAtMs: arrival.arrivedAtMs,
    };
  }

  private static chooseClaim(request: routedRequest.RoutedRequest, starved: ReadonlySet<string>): waitOrder.WaitClaim {
    return starved.size > 0 && starved.has(WaitQueue.formatGroup(request)) ? 'starved' : 'usual';
  }

  private static formatGroup(request: routedRequest.RoutedRequest): string {
    const { tenantRank, routeRank } = request.getRanks();
    return `${tenantRank}/${routeRank}`;
  }
}
