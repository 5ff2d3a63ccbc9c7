import * as crypto from 'node:crypto';
import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';
import * as neverthrow from 'neverthrow';

import * as callers from '../callers/index.js';
import * as catalogs from '../catalogs/index.js';
import * as links from '../links/index.js';
import * as metrics from '../metrics/index.js';
import * as upstreams from '../upstreams/index.js';
import type * as platformAdapter from './PlatformAdapter.js';
import type * as frontSettings from './FrontSettings.js';
import * as readinessListener from './ReadinessListener.js';
import * as standardLogOutput from './StandardLogOutput.js';
import * as structuredLog from './StructuredLog.js';
import * as vmLoadMeter from './VmLoadMeter.js';

// Callers keep an answer of the directory for up to this many times its longest validity.
const CALLER_SPAN_ANSWERS = 3;

// Number of VMs (fronts) per place that callers are sent to without load. With few VMs, each one sends enough requests to every
// instance to detect within a few requests that it no longer responds. The second VM takes over when the first fails.
const FRONTS_PER_PLACE = 2;

// Callers may cache a directory response for three times its validity, and must have switched to another VM before
// a stopping VM closes its listener.
const DIRECTORY_VALIDITY_MS = 1_200;

// Share of the grace period during which a stopping process still accepts new connections.
const ACCEPT_PERIOD_SHARE = 0.75;

// Part of the grace period in which requests are accepted although they may take longer than it, and its longest length. A request that is
// sent later must be over before the process ends.
const OPEN_PERIOD_SHARE = 0.5;
const MAX_OPEN_PERIOD_MS = 3_000;

// Shares of the grace period after which all requests get an outcome, and after which the process exits. The time between them is for
// writing the last responses, the time after them for the exit.
const OUTCOME_SHARE = 0.89;
const EXIT_SHARE = 0.94;
const DRAIN_CHECK_INTERVAL_MS = 50;

// Share of the retry budget of the platform that the VMs use. The VMs divide the budget without exchanging messages, and
// their counting windows overlap only in part; the margin keeps the sum within the budget.
const RETRY_BUDGET_SHARE = 0.9;

// Shares of the memory of the process for the bodies of requests and for answers. The runtime and the code need the rest.
// The bodies' share permits a body of 64 MiB on a VM with 250 MB.
const BODY_MEMORY_SHARE = 0.3;
const ANSWER_MEMORY_SHARE = 0.2;

// Shares of the memory for heads that are not complete and for the connections of callers, and the memory of such a connection.
const HEAD_MEMORY_SHARE = 0.1;
const CONNECTION_MEMORY_SHARE = 0.15;
const CONNECTION_BYTES = 20_000;

// Descriptors that are left for files, and the share of the others for connections of callers; instances and other VMs need the rest.
const FILE_DESCRIPTORS = 200;
const CALLER_DESCRIPTOR_SHARE = 0.6;

// Shares of each of the other listeners: directory, readiness, news and metrics.
const AUXILIARY_DESCRIPTOR_SHARE = 0.04;
const AUXILIARY_MEMORY_SHARE = 0.02;

// Settings that a running process can apply. The others, such as addresses and the identity of the VM, are fixed at its start.
const RELOADABLE_FIELDS = [
  'seedHosts', 'shutdownGraceMs', 'maxValidityMs', 'retryRatio', 'retrySlack', 'retryWindowMs', 'placeCount',
] as const satisfies readonly (keyof frontSettings.FrontSettings)[];

/** Reason why a process cannot start: the port of a listener cannot be bound. */
export interface StartFailure {
  readonly type: 'port-unavailable';
  readonly listener: string;
  readonly detail: string;
}

type TaskOutput = gateway.callers.GatewayOutput | gateway.contracts.CatalogOutput | gateway.vms.MembershipOutput
| gateway.vms.BudgetShareChange;

type ProcessMessage = { readonly type: 'accept-period-ended' } | { readonly type: 'drain-check' };

/**
 * Front process: the process of a VM that receives requests of callers and routes them to instances.
 * Connects the tasks that make decisions with the tasks that own sockets.
 */
export class FrontProcess implements core.tasks.Mailbox<ProcessMessage> {
  readonly log: structuredLog.StructuredLog;

  private readonly timers = new core.time.SystemTimerService();

  private readonly scheduler = new core.tasks.TaskScheduler();

  private readonly random = new core.randomness.SeededRandomSource(crypto.randomInt(2 ** 31));

  private readonly requests: gateway.callers.RoutedRequestTask;

  private readonly catalog: gateway.contracts.CatalogTask;

  private readonly membership: gateway.vms.MembershipTask;

  private readonly connections: upstreams.RoutedConnections;

  private readonly listener: callers.FrontListener;

  private readonly heartbeats: links.HeartbeatSocket;

  private readonly catalogUpdates: links.CatalogUpdateClient;

  private readonly catalogReader: catalogs.CatalogReader;

  private readonly metrics: metrics.ProcessMetrics;

  private readonly loadMeter: vmLoadMeter.VmLoadMeter;

  // Number of VMs of the place among which its part of the retry budget is divided.
  private budgetDivisor = FRONTS_PER_PLACE;

  // Time at which the process exits at the latest, once it is being stopped.
  private exitsAtMs = Infinity;

  private resolveEnded: () => void = () => undefined;

  private readonly ended: Promise<void>;

  /**
   * @param settings - Settings of the process.
   * @param adapter - Adapter of the platform.
   */
  constructor(private settings: frontSettings.FrontSettings, private readonly adapter: platformAdapter.PlatformAdapter) {
    const { timers, scheduler, random } = this;
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
    this.log = new structuredLog.StructuredLog(timers, settings.name, new standardLogOutput.StandardLogOutput());
    const onEvent = (event: string, fields: gateway.callers.LogFields): void => this.record(event, fields);
    const outbox = { post: (output: TaskOutput) => this.dispatch(output) };
    this.requests = new gateway.callers.RoutedRequestTask({
      scheduler,
      timers,
      random,
      outbox,
      vm: settings.name,
      place: settings.place,
      budget: FrontProcess.computeRetryBudget(settings, FRONTS_PER_PLACE),
      floorShare: settings.floorShare,
      quotas: {
        ...settings.quotas, servingVms: FRONTS_PER_PLACE * settings.placeCount, callerSpanMs: CALLER_SPAN_ANSWERS * settings.maxValidityMs,
      },
    });
    this.catalog = new gateway.contracts.CatalogTask({
      scheduler,
      timers,
      random,
      outbox,
      requests: this.requests,
      membership: { post: (message) => this.membership.post(message) },
      startReading: settings.seedHosts.includes(settings.host) ? 'at-once' : 'after-peers',
      bounds: settings,
    });
    this.membership = new gateway.vms.MembershipTask({
      scheduler,
      timers,
      random,
      outbox,
      catalog: this.catalog,
      self: {
        name: settings.name,
        host: settings.host,
        place: settings.place,
        incarnation: crypto.randomUUID(),
        capacity: settings.capacity,
        ...settings.linkCapacityMbps === undefined ? {} : { linkCapacityMbps: settings.linkCapacityMbps },
      },
      seedHosts: settings.seedHosts,
      frontsPerPlace: FRONTS_PER_PLACE,
      validityMs: FrontProcess.computeValidityMs(settings),
      budgetWindowMs: settings.retryWindowMs,
    });
    this.loadMeter = new vmLoadMeter.VmLoadMeter({
      timers,
      membershipTask: this.membership,
      memoryBytes: settings.memoryBytes,
      countRequests: () => this.requests.countRequests(),
      countArrivals: () => this.requests.countArrivals(),
    });
    const answerBudget = new links.ByteBudget(settings.memoryBytes * ANSWER_MEMORY_SHARE);
    this.connections = new upstreams.RoutedConnections({
      scheduler, timers, dialect: adapter.upstreams, requestTask: this.requests, answerBudget,
    });
    this.listener = new callers.FrontListener({
      ...settings.callers,
      scheduler,
      timers,
      dialect: adapter.callers,
      requestTask: this.requests,
      bufferBytes: settings.memoryBytes * BODY_MEMORY_SHARE,
      connectionLimits: {
        connections: FrontProcess.computeCallerLimit(settings),
        headBytes: settings.memoryBytes * HEAD_MEMORY_SHARE,
      },
      answerBudget,
      onEvent,
    });
    this.heartbeats = new links.HeartbeatSocket({
      host: settings.host, port: settings.heartbeatPort, scheduler, membershipTask: this.membership, requestTask: this.requests, onEvent,
    });
    this.catalogUpdates = new links.CatalogUpdateClient({
      port: settings.news.port, scheduler, catalogTask: this.catalog, onEvent,
    });
    this.catalogReader = new catalogs.CatalogReader({ scheduler, source: adapter.source, catalogTask: this.catalog });
    this.metrics = new metrics.ProcessMetrics({
      requests: this.requests,
      catalog: this.catalog,
      membership: this.membership,
      countConnections: () => this.connections.countConnections(),
    });
  }

  /** Binds all sockets and starts to read the catalog. */
  async start(): Promise<neverthrow.Result<void, StartFailure>> {
    const { settings, membership, adapter } = this;
    const onEvent = (event: string, fields: gateway.callers.LogFields): void => this.record(event, fields);
    const maxConnections = FrontProcess.computeAuxiliaryLimit(settings);
    const results = await Promise.all([
      FrontProcess.listenOn('callers', this.listener),
      FrontProcess.listenOn('heartbeats', this.heartbeats),
      FrontProcess.listenOn('readiness', new readinessListener.ReadinessListener({
        ...settings.readiness, maxConnections, path: adapter.readinessPath, membershipTask: membership,
      })),
      FrontProcess.listenOn('directory', new callers.DirectoryListener({
        ...settings.directory, maxConnections, frontPort: settings.callers.port, dialect: adapter.directory, membershipTask: membership,
      })),
      FrontProcess.listenOn('news', new links.CatalogUpdateServer({
        ...settings.news, maxConnections, catalogTask: this.catalog, onEvent,
      })),
      ...settings.metrics === undefined ? [] : [FrontProcess.listenOn('metrics', new metrics.MetricsListener({
        host: settings.host, ...settings.metrics, maxConnections, registry: this.metrics.registry,
      }))],
    ]);
    const failure = results.find((result) => result.isErr());
    if (failure?.isErr() === true) return neverthrow.err(failure.error);
    this.log.write('process-started', { place: settings.place, host: settings.host, pid: process.pid });
    this.membership.post({ type: 'start' });
    this.catalog.post({ type: 'start' });
    this.loadMeter.start();
    return neverthrow.ok(undefined);
  }

  /**
   * Applies changed settings. Returns the names of changed fields that take effect only after a restart.
   * @param settings - Settings as read from the file.
   */
  applySettings(settings: frontSettings.FrontSettings): string[] {
    const previous = this.settings;
    this.settings = { ...previous, ...Object.fromEntries(RELOADABLE_FIELDS.map((field) => [field, settings[field]])) };
    this.membership.post({
      type: 'settings-changed',
      seedHosts: this.settings.seedHosts,
      validityMs: FrontProcess.computeValidityMs(this.settings),
      budgetWindowMs: this.settings.retryWindowMs,
    });
    this.requests.post({ type: 'budget-changed', budget: FrontProcess.computeRetryBudget(this.settings, this.budgetDivisor) });
    const fields = Object.keys(settings) as (keyof frontSettings.FrontSettings)[];
    return fields.filter((field) => JSON.stringify(settings[field]) !== JSON.stringify(this.settings[field]));
  }

  /** Starts a graceful shutdown. */
  stop(): void {
    if (this.exitsAtMs !== Infinity) return;
    const { shutdownGraceMs } = this.settings;
    const nowMs = this.timers.getNowMs();
    this.exitsAtMs = nowMs + shutdownGraceMs * EXIT_SHARE;
    this.log.write('process-stopping', { open: this.listener.countOpenRequests() });
    this.requests.post({
      type: 'stopping',
      acceptsUntilMs: nowMs + Math.min(MAX_OPEN_PERIOD_MS, shutdownGraceMs * OPEN_PERIOD_SHARE),
      endsAtMs: nowMs + shutdownGraceMs * OUTCOME_SHARE,
    });
    this.membership.post({ type: 'stop' });
    this.listener.post({ type: 'drain' });
    this.timers.subscribe({ mailbox: this, message: { type: 'accept-period-ended' as const }, delayMs: shutdownGraceMs * ACCEPT_PERIOD_SHARE });
  }

  /** Resolves when the process may exit. */
  waitForEnd(): Promise<void> {
    return this.ended;
  }

  /** @internal */
  post(message: ProcessMessage): void {
    if (message.type === 'accept-period-ended') this.listener.post({ type: 'close-listener' });
    const graceEnded = this.timers.getNowMs() >= this.exitsAtMs;
    if (this.listener.countOpenRequests() > 0 && !graceEnded) {
      this.timers.subscribe({ mailbox: this, message: { type: 'drain-check' as const }, delayMs: DRAIN_CHECK_INTERVAL_MS });
      return;
    }
    this.log.write('process-stopped', { open: this.listener.countOpenRequests() });
    this.log.flush();
    this.resolveEnded();
  }

  private dispatch(output: TaskOutput): void {
    switch (output.type) {
      case 'answer':
      case 'refuse':
      case 'limits-changed':
        this.listener.post(output);
        break;
      case 'send-attempt':
      case 'cancel-attempt':
        this.connections.post(output);
        break;
      case 'read-snapshot':
      case 'watch-changes':
      case 'stop-reading':
        this.catalogReader.post(output);
        break;
      case 'catalog-needed':
        this.catalog.post(output);
        break;
      case 'fetch-update':
        this.catalogUpdates.post(output);
        break;
      case 'send-heartbeat':
      case 'send-evidence':
      case 'send-quota-usage':
        this.heartbeats.post(output);
        break;
      case 'evidence-found':
      case 'quota-usage':
        this.membership.post(output);
        break;
      case 'budget-share-changed':
        this.budgetDivisor = output.divisor;
        this.requests.post({ type: 'budget-changed', budget: FrontProcess.computeRetryBudget(this.settings, output.divisor) });
        break;
      case 'listing-changed':
        this.requests.post(output);
        break;
      case 'log':
        this.record(output.event, output.fields);
        break;
      // no default
    }
  }

  private record(event: string, fields: gateway.callers.LogFields): void {
    this.metrics.record(event, fields);
    this.log.write(event, fields);
  }

  private static computeRetryBudget(settings: frontSettings.FrontSettings, divisor: number): gateway.callers.RetryBudgetOptions {
    const frontCount = divisor * settings.placeCount;
    return {
      ratio: settings.retryRatio * RETRY_BUDGET_SHARE,
      // The other half of the slack is left for VMs that receive requests although the directory does not return them, and for VMs that
      // were added within the window.
      slack: (settings.retrySlack * RETRY_BUDGET_SHARE) / frontCount / 2,
      windowMs: settings.retryWindowMs,
    };
  }

  private static computeCallerLimit(settings: frontSettings.FrontSettings): number {
    return FrontProcess.computeConnectionLimit(settings, CONNECTION_MEMORY_SHARE, CALLER_DESCRIPTOR_SHARE);
  }

  private static computeAuxiliaryLimit(settings: frontSettings.FrontSettings): number {
    return FrontProcess.computeConnectionLimit(settings, AUXILIARY_MEMORY_SHARE, AUXILIARY_DESCRIPTOR_SHARE);
  }

  private static computeConnectionLimit(
    { memoryBytes, maxDescriptors = Infinity }: frontSettings.FrontSettings,
    memoryShare: number,
    descriptorShare: number,
  ): number {
    return Math.floor(Math.min((memoryBytes * memoryShare) / CONNECTION_BYTES, (maxDescriptors - FILE_DESCRIPTORS) * descriptorShare));
  }

  private static computeValidityMs(settings: frontSettings.FrontSettings): number {
    return Math.min(DIRECTORY_VALIDITY_MS, settings.maxValidityMs);
  }

  private static async listenOn(
    listener: string,
    socket: { readonly listen: () => Promise<neverthrow.Result<number, string>> },
  ): Promise<neverthrow.Result<number, StartFailure>> {
    return (await socket.listen()).mapErr((detail) => ({ type: 'port-unavailable', listener, detail }));
  }
}
