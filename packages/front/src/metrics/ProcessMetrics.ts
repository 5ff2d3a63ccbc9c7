import type * as gateway from '@tamarackferry/gateway';
import * as prometheus from 'prom-client';

// Bucket bounds in seconds: the lowest matches the latency that the system itself adds, the highest the longest deadlines in use.
const LATENCY_BOUNDS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5];

/** Sources of the gauges, read each time the metrics are served. */
export interface GaugeSources {
  readonly requests: gateway.callers.RoutedRequestTask;
  readonly catalog: gateway.contracts.CatalogTask;
  readonly membership: gateway.vms.MembershipTask;
  /** Counts the open connections to instances. */
  readonly countConnections: () => number;
}

/** Counters, gauges and latency histograms of one process. */
export class ProcessMetrics {
  readonly registry = new prometheus.Registry();

  private readonly requests = new prometheus.Counter({
    name: 'tamarackferry_requests_total', help: 'Requests by route and outcome', labelNames: ['route', 'outcome'], registers: [this.registry],
  });

  private readonly latency = new prometheus.Histogram({
    name: 'tamarackferry_request_seconds',
    help: 'Time from the head of a request to its answer',
    labelNames: ['route', 'outcome'],
    buckets: LATENCY_BOUNDS_S,
    registers: [this.registry],
  });

  private readonly attempts = new prometheus.Counter({
    name: 'tamarackferry_failed_attempts_total', help: 'Attempts without a good answer, by service and ending', labelNames: ['service', 'ending'], registers: [this.registry],
  });

  private readonly quotaRefusals = new prometheus.Counter({
    name: 'tamarackferry_quota_refusals_total', help: 'Requests refused because of the quota of their tenant', labelNames: ['tenant'], registers: [this.registry],
  });

  private readonly refusals = new prometheus.Counter({
    name: 'tamarackferry_refusals_total',
    help: 'Refused requests by reason, tenant and ranks',
    labelNames: ['reason', 'tenant', 'tenant_rank', 'route_rank'],
    registers: [this.registry],
  });

  private readonly events = new prometheus.Counter({
    name: 'tamarackferry_events_total', help: 'Events of the log, those that were left out included', labelNames: ['event'], registers: [this.registry],
  });

  /** @param sources - Tasks whose state the gauges report. */
  constructor(sources: GaugeSources) {
    this.addGauge('configuration_version', 'Version of the configuration in force', () => sources.catalog.describe().version);
    this.addGauge('store_era', 'Era of the store that is known', () => sources.catalog.describe().era);
    this.addGauge('catalog_revision', 'Revision of the store that is known', () => sources.catalog.describe().revision);
    this.addGauge('catalog_age_seconds', 'Time since the catalog was confirmed', () => sources.catalog.describe().confirmedAgeMs / 1_000);
    this.addGauge('instances', 'Published instances', () => sources.catalog.describe().instances);
    this.addGauge('known_vms', 'Other VMs that were lately heard', () => sources.membership.countReachableVms());
    this.addGauge('fronts', 'VMs of the place that callers are sent to', () => sources.membership.countFronts());
    this.addGauge('place_demand_cores', 'Largest recent work of the callers of the place', () => sources.membership.getDemand().cores);
    this.addGauge('place_demand_mbps', 'Largest recent traffic of the callers of the place', () => sources.membership.getDemand().linkMbps);
    this.addGauge('open_requests', 'Requests in progress', () => sources.requests.countRequests());
    this.addGauge('waiting_requests', 'Requests that wait for an instance', () => sources.requests.countWaiting());
    this.addGauge('leaving_instances', 'Instances published as ready that have stated to this VM that they are leaving', () => sources.requests.countLeavingInstances());
    this.addGauge('limited_instances', 'Instances that state a limit', () => sources.requests.countLimitedInstances());
    this.addGauge('exceeded_quotas', 'Tenants that exceed their quotas at this VM', () => sources.requests.countExceededQuotas());
    this.addGauge('upstream_connections', 'Open connections to instances', sources.countConnections);
  }

  /**
   * Updates the counters and histograms for a log event.
   * @param event - Name of the event.
   * @param fields - Fields of the event.
   */
  record(event: string, fields: gateway.callers.LogFields): void {
    this.events.inc({ event });
    const { route, elapsedMs } = fields;
    if (event === 'request-refused') this.recordRefusal(fields);
    if (event === 'attempt-failed') this.attempts.inc({ service: String(fields['service']), ending: String(fields['ending']) });
    if (event === 'request-refused' && fields['reason'] === 'over-quota') this.quotaRefusals.inc({ tenant: String(fields['tenant']) });
    if (typeof route !== 'string' || typeof elapsedMs !== 'number' || !event.startsWith('request-')) return;
    const outcome = String(fields['reason'] ?? fields['status'] ?? event);
    this.requests.inc({ route, outcome });
    this.latency.observe({ route, outcome }, elapsedMs / 1_000);
  }

  // The ranks are missing if the request was refused before its route or its tenant was known.
  private recordRefusal({
    reason, tenant, tenantRank, routeRank,
  }: gateway.callers.LogFields): void {
    this.refusals.inc({
      reason: String(reason), tenant: String(tenant ?? ''), tenant_rank: String(tenantRank ?? ''), route_rank: String(routeRank ?? ''),
    });
  }

  private addGauge(name: string, help: string, readValue: () => number): void {
    const gauge: prometheus.Gauge = new prometheus.Gauge({
      name: `tamarackferry_${name}`, help, registers: [this.registry], collect: () => gauge.set(readValue()),
    });
  }
}
