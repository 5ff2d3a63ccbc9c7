import type * as core from '@tamarackferry/core';

import * as activeRoutes from '../contracts/ActiveRoutes.js';
import type * as configuration from '../contracts/Configuration.js';
import * as tenantTable from '../contracts/TenantTable.js';
import type * as requestArrival from './RequestArrival.js';
import * as routedRequest from './RoutedRequest.js';
import type * as stopSchedule from './StopSchedule.js';

// Deadline for callers that state none; the time-out of the route applies as well.
const DEFAULT_DEADLINE_MS = 30_000;

/** What becomes of a request on its arrival, as far as the configuration decides. */
export type ArrivalDecision =
  | { readonly type: 'accepted'; readonly request: routedRequest.RoutedRequest }
  | { readonly type: 'refused'; readonly reason: requestArrival.RefusalReason };

/** Finds route, tenant and service of requests in the configuration in force, and refuses what it does not permit. */
export class RequestResolver {
  private readonly routes: activeRoutes.ActiveRoutes;

  private tenants = new tenantTable.TenantTable([]);

  // `stale` if neither the store nor another VM has recently confirmed that the catalog is up to date.
  private catalogState: 'current' | 'stale' = 'stale';

  /**
   * @param random - Random source for the start position of each traffic split.
   * @param stop - Times of a planned stop of the VM.
   */
  constructor(random: core.randomness.RandomSource, private readonly stop: stopSchedule.StopSchedule) {
    this.routes = new activeRoutes.ActiveRoutes(random);
  }

  /** Whether a configuration was received. */
  hasConfiguration(): boolean {
    return this.routes.hasConfiguration();
  }

  /**
   * Replaces the routes and tenants by those of a newer configuration.
   * @param applied - Newer configuration.
   */
  applyConfiguration(applied: configuration.Configuration): void {
    this.routes.applyConfiguration(applied);
    this.tenants = new tenantTable.TenantTable(applied.tenants);
  }

  /**
   * Records whether the catalog is known to be up to date.
   * @param state - State of the catalog.
   */
  setCatalogState(state: 'current' | 'stale'): void {
    this.catalogState = state;
  }

  /**
   * Decides about a request on its arrival.
   * @param arrival - Request as received.
   * @param nowMs - Current time.
   */
  resolve(arrival: requestArrival.RequestArrival, nowMs: number): ArrivalDecision {
    const route = this.routes.getRoute(arrival.host, arrival.path);
    if (route === undefined) return { type: 'refused', reason: this.isOutdated() ? 'no-configuration' : 'no-route' };
    const identity = this.tenants.findIdentity(route.access, arrival.credential);
    if (identity === undefined) return { type: 'refused', reason: this.isOutdated() ? 'no-configuration' : 'unknown-key' };
    const service = this.routes.chooseService(route);
    if (service === undefined) return { type: 'refused', reason: 'no-instance' };
    const deadlineAtMs = arrival.arrivedAtMs + Math.min(route.timeoutMs, arrival.deadlineMs ?? DEFAULT_DEADLINE_MS);
    if (this.stop.decide(deadlineAtMs, nowMs) === 'refuse') return { type: 'refused', reason: 'stopping' };
    return {
      type: 'accepted',
      request: new routedRequest.RoutedRequest({
        arrival, route, identity, service, durations: this.routes.getDurations(route), deadlineAtMs: this.stop.limitDeadline(deadlineAtMs),
      }),
    };
  }

  /**
   * Whether the key of a request that was accepted earlier is still valid. A revoked key must not have a waiting request sent.
   * @param request - Request.
   */
  isAuthorized(request: routedRequest.RoutedRequest): boolean {
    const { arrival, route } = request.options;
    const tenant = request.getTenant();
    if (tenant === undefined || route.access === 'public') return true;
    const identity = this.tenants.findIdentity(route.access, arrival.credential);
    return identity?.type === 'tenant' && identity.tenant.name === tenant.name;
  }

  // While the configuration may be outdated, a newer one may contain the route or the key.
  private isOutdated(): boolean {
    return !this.routes.hasConfiguration() || this.catalogState === 'stale';
  }
}
