import type * as core from '@tamarackferry/core';

import * as durationSamples from '../upstreams/DurationSamples.js';
import type * as configuration from './Configuration.js';
import type * as route from './Route.js';
import * as routeTable from './RouteTable.js';
import * as trafficSplit from './TrafficSplit.js';

/** Active routes, which are those of the latest configuration, with the traffic split and the answer durations of each route. */
export class ActiveRoutes {
  private table: routeTable.RouteTable | undefined;

  private splits = new Map<string, trafficSplit.TrafficSplit>();

  // The durations are kept when the configuration changes, since the work for the requests of a route mostly stays the same.
  private readonly durations = new Map<string, durationSamples.DurationSamples>();

  /** @param random - Random source for the start position of each traffic split. */
  constructor(private readonly random: core.randomness.RandomSource) {}

  /** Whether a configuration was received. */
  hasConfiguration(): boolean {
    return this.table !== undefined;
  }

  /**
   * Replaces the routes by those of a newer configuration.
   * @param applied - Newer configuration.
   */
  applyConfiguration(applied: configuration.Configuration): void {
    this.table = new routeTable.RouteTable(applied.routes);
    this.splits = new Map();
  }

  /**
   * Gets the route of a request, or undefined if none matches.
   * @param host - Value of the host header.
   * @param path - Path of the request.
   */
  getRoute(host: string, path: string): route.Route | undefined {
    return this.table?.getRoute(host, path);
  }

  /**
   * Chooses the service of the next request of a route by weight.
   * @param chosen - Route of the request.
   */
  chooseService(chosen: route.Route): string | undefined {
    const existing = this.splits.get(chosen.name);
    if (existing !== undefined) return existing.chooseService();
    const created = new trafficSplit.TrafficSplit(chosen.targets);
    // VMs that start together would otherwise all send their first requests to the same target.
    created.advance(this.random.drawFraction());
    this.splits.set(chosen.name, created);
    return created.chooseService();
  }

  /**
   * Gets the durations of the answers of a route.
   * @param measured - Route.
   */
  getDurations(measured: route.Route): durationSamples.DurationSamples {
    const existing = this.durations.get(measured.name);
    if (existing !== undefined) return existing;
    const created = new durationSamples.DurationSamples(measured.objectiveMs);
    this.durations.set(measured.name, created);
    return created;
  }
}
