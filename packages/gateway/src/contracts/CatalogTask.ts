import * as core from '@tamarackferry/core';

import type * as gatewayOutput from '../callers/GatewayOutput.js';
import type * as routedRequestMessage from '../callers/RoutedRequestMessage.js';
import type * as membershipMessage from '../vms/MembershipMessage.js';
import * as catalog from './Catalog.js';
import type * as catalogChange from './CatalogChange.js';
import type * as catalogMessage from './CatalogMessage.js';
import * as retainedInstances from './RetainedInstances.js';

// A watch that goes silent is noticed after this time, so it must stay well below the time in which a change has to be in force.
const WATCH_WAIT_MS = 2_000;

// Changes that come one after the other are read together, since each answer of a watch is a call. A fifth of the two seconds
// in which a change has to be in force.
const WATCH_PAUSE_MS = 400;

// A follower without confirmed news for this long reads the store itself.
const FOLLOWER_TIMEOUT_MS = 3_000;

// Time that a starting VM gives its peers before it reads the store itself: some round trips to the seeds in a region. Requests
// wait for it when all VMs were killed together and no peer knows anything.
const START_TIMEOUT_MS = 80;

// A confirmation older than this does not prove that a route is unknown.
const MAX_CURRENT_AGE_MS = 4_000;

const CHECK_PERIOD_MS = 500;
const MIN_BACKOFF_MS = 100;
// The store counts as stable three seconds after an outage; a reader has to be back by then.
const MAX_BACKOFF_MS = 1_000;

// A follower that reads the store by itself goes on for this long before it relies on peers again.
const DIRECT_READ_SPAN_MS = 6_000;

/** Options of a `CatalogTask`. */
export interface CatalogTaskOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<catalogMessage.CatalogOutput | gatewayOutput.GatewayOutput>;
  readonly requests: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>;
  readonly membership: core.tasks.Mailbox<membershipMessage.MembershipMessage>;
}

/** Owns what the VM knows of configuration and instances, and decides when it reads the store and when it relies on peers. */
export class CatalogTask extends core.tasks.Task<catalogMessage.CatalogMessage> {
  private readonly catalog = new catalog.Catalog();

  private readonly retained = new retainedInstances.RetainedInstances();

  private role: 'watcher' | 'follower' = 'follower';

  // What the VM is doing at the store.
  private reading: 'idle' | 'snapshot' | 'watching' | 'waiting' = 'idle';

  private storeState: 'unknown' | 'reached' | 'lost' = 'unknown';

  private contents: 'empty' | 'snapshot' = 'empty';

  private confirmedAtMs = -Infinity;

  private announcedState: 'current' | 'stale' = 'stale';

  private directReadUntilMs = -Infinity;

  private startedAtMs = 0;

  private backoffMs = MIN_BACKOFF_MS;

  private readonly fetchStartedAtMs = new Map<string, number>();

  private readonly timers: core.time.TimerSubscription[] = [];

  /** @param options - Surroundings of the task. */
  constructor(private readonly options: CatalogTaskOptions) {
    super(options.scheduler);
  }

  /** Describes what the VM believes, for gauges. */
  describe(): { readonly version: number; readonly revision: number; readonly confirmedAgeMs: number; readonly instances: number } {
    return {
      version: this.catalog.getConfiguration()?.version ?? 0,
      revision: this.catalog.getRevision(),
      confirmedAgeMs: this.options.timers.getNowMs() - this.confirmedAtMs,
      instances: this.catalog.listInstances().length,
    };
  }

  /** @internal */
  override handle(message: catalogMessage.CatalogMessage): void {
    switch (message.type) {
      case 'start':
        this.startedAtMs = this.options.timers.getNowMs();
        this.timers.push(this.options.timers.subscribe({
          mailbox: this, message: { type: 'check' as const }, delayMs: START_TIMEOUT_MS, periodMs: CHECK_PERIOD_MS,
        }));
        break;
      case 'stop':
        this.timers.forEach((timer) => timer.cancel());
        this.options.outbox.post({ type: 'stop-reading' });
        break;
      case 'role-chosen':
        this.role = message.role;
        this.readIfNeeded();
        break;
      case 'snapshot-read':
        this.handleStoreReached();
        this.finishReading(this.catalog.applySnapshot(message.snapshot), 'store');
        this.scheduleRead(0);
        break;
      case 'changes-read':
        this.handleStoreReached();
        this.finishReading(this.catalog.applyChanges(message.changes, message.revision), 'store');
        this.scheduleRead(message.changes.length === 0 ? 0 : WATCH_PAUSE_MS);
        break;
      case 'history-lost':
        this.log('store-history-lost', {});
        this.reading = 'snapshot';
        this.options.outbox.post({ type: 'read-snapshot' });
        break;
      case 'read-failed':
        this.handleFailure(message.reason, message.detail);
        break;
      case 'peer-revision-received':
        this.handlePeerRevision(message);
        break;
      case 'peer-update':
        this.handleUpdate(message.host, message.update);
        break;
      case 'peer-unreached':
        this.fetchStartedAtMs.delete(message.host);
        break;
      case 'update-requested':
        message.replyTo.post(this.buildUpdate(message.afterRevision));
        break;
      case 'read-due':
        this.reading = 'idle';
        this.readIfNeeded();
        break;
      case 'check':
        this.checkAge();
        break;
      // no default
    }
  }

  private readIfNeeded(): void {
    if (this.reading !== 'idle') return;
    const nowMs = this.options.timers.getNowMs();
    const waitsForPeers = nowMs - Math.max(this.confirmedAtMs, this.startedAtMs) <= (this.contents === 'empty' ? START_TIMEOUT_MS : FOLLOWER_TIMEOUT_MS);
    if (this.role === 'follower' && waitsForPeers && nowMs >= this.directReadUntilMs) return;
    if (this.role === 'follower' && !waitsForPeers) this.directReadUntilMs = nowMs + DIRECT_READ_SPAN_MS;
    if (this.contents === 'empty') {
      this.reading = 'snapshot';
      this.options.outbox.post({ type: 'read-snapshot' });
      return;
    }
    this.reading = 'watching';
    this.options.outbox.post({ type: 'watch-changes', afterRevision: this.catalog.getRevision(), waitMs: WATCH_WAIT_MS });
  }

  private scheduleRead(delayMs: number): void {
    this.reading = 'waiting';
    this.options.timers.subscribe({ mailbox: this, message: { type: 'read-due' as const }, delayMs });
  }

  private handleStoreReached(): void {
    this.backoffMs = MIN_BACKOFF_MS;
    if (this.storeState !== 'reached') this.log('store-reached', { revision: this.catalog.getRevision() });
    this.storeState = 'reached';
  }

  private handleFailure(reason: catalogMessage.ReadFailureReason, detail: string): void {
    if (this.storeState !== 'lost') this.log('store-lost', { reason, detail, confirmedAgeMs: this.computeConfirmedAgeMs() });
    this.storeState = 'lost';
    // Jitter keeps the VMs from returning to the store at the same moment.
    this.scheduleRead(this.backoffMs * (0.5 + this.options.random.drawFraction()));
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
  }

  private handlePeerRevision(received: Extract<catalogMessage.CatalogMessage, { type: 'peer-revision-received' }>): void {
    const nowMs = this.options.timers.getNowMs();
    if (this.contents === 'snapshot' && received.revision <= this.catalog.getRevision()) {
      if (received.revision === this.catalog.getRevision()) this.recordConfirmation(nowMs - received.confirmedAgeMs);
      return;
    }
    if (received.revision === 0 || nowMs - (this.fetchStartedAtMs.get(received.host) ?? -Infinity) < CHECK_PERIOD_MS) return;
    this.fetchStartedAtMs.set(received.host, nowMs);
    this.options.outbox.post({
      type: 'fetch-update', host: received.host, afterRevision: this.contents === 'empty' ? -1 : this.catalog.getRevision(),
    });
  }

  private handleUpdate(host: string, update: catalogMessage.CatalogUpdate): void {
    this.fetchStartedAtMs.delete(host);
    const effects = update.type === 'snapshot'
      ? this.catalog.applySnapshot(update.snapshot)
      : this.catalog.applyChanges(update.changes, update.revision);
    this.finishReading(effects, 'peer', this.options.timers.getNowMs() - update.confirmedAgeMs);
  }

  private finishReading(effects: ReadonlySet<catalog.CatalogEffect>, source: 'store' | 'peer', confirmedAtMs = this.options.timers.getNowMs()): void {
    const wasEmpty = this.contents === 'empty';
    this.contents = 'snapshot';
    this.recordConfirmation(confirmedAtMs);
    const current = this.catalog.getConfiguration();
    if (effects.has('configuration') && current !== undefined) {
      this.options.requests.post({ type: 'configuration-changed', configuration: current });
      this.log('configuration-in-force', { version: current.version, revision: this.catalog.getRevision(), source });
    }
    if (effects.has('instances')) this.publishInstances(source);
    if (effects.size > 0 || wasEmpty) this.announceRevision('changed');
  }

  private publishInstances(source: 'store' | 'peer' | 'lapse'): void {
    const nowMs = this.options.timers.getNowMs();
    const inUse = this.retained.listInUse(this.catalog.listInstances(), nowMs);
    this.options.requests.post({ type: 'instances-changed', records: inUse });
    this.log('instances-changed', {
      count: inUse.length, draining: inUse.filter((record) => record.state === 'draining').length, revision: this.catalog.getRevision(), source,
    });
    const remainingMs = this.retained.computeRemainingMs(nowMs);
    if (remainingMs !== undefined) this.options.timers.subscribe({ mailbox: this, message: { type: 'check' as const }, delayMs: remainingMs + 1 });
  }

  private recordConfirmation(confirmedAtMs: number): void {
    if (confirmedAtMs <= this.confirmedAtMs) return;
    const nowMs = this.options.timers.getNowMs();
    this.retained.recordReconnection(confirmedAtMs - this.confirmedAtMs, nowMs);
    this.confirmedAtMs = confirmedAtMs;
    this.announceRevision('same');
    this.announceState();
  }

  private checkAge(): void {
    this.announceState();
    const remainingMs = this.retained.computeRemainingMs(this.options.timers.getNowMs());
    if (remainingMs === 0) this.publishInstances('lapse');
    this.readIfNeeded();
  }

  private announceState(): void {
    const state = this.computeConfirmedAgeMs() <= MAX_CURRENT_AGE_MS ? 'current' : 'stale';
    if (state === this.announcedState) return;
    this.announcedState = state;
    this.options.requests.post({ type: 'catalog-state', state });
    this.log(state === 'current' ? 'catalog-current' : 'catalog-stale', { revision: this.catalog.getRevision() });
  }

  private announceRevision(extent: 'changed' | 'same'): void {
    this.options.membership.post({
      type: 'catalog-status',
      revision: this.catalog.getRevision(),
      confirmedAtMs: this.confirmedAtMs,
      content: extent,
      configuration: this.catalog.getConfiguration() === undefined ? 'missing' : 'known',
    });
  }

  private buildUpdate(afterRevision: number): catalogMessage.CatalogUpdate {
    const confirmedAgeMs = this.computeConfirmedAgeMs();
    const changes: catalogChange.CatalogChange[] | undefined = afterRevision < 0 ? undefined : this.catalog.listChangesAfter(afterRevision);
    return changes === undefined
      ? { type: 'snapshot', confirmedAgeMs, snapshot: this.catalog.buildSnapshot() }
      : {
        type: 'changes', confirmedAgeMs, revision: this.catalog.getRevision(), changes,
      };
  }

  private computeConfirmedAgeMs(): number {
    // JSON has no infinity.
    return Math.min(1e9, Math.round(this.options.timers.getNowMs() - this.confirmedAtMs));
  }

  private log(event: string, fields: gatewayOutput.LogFields): void {
    this.options.outbox.post({ type: 'log', event, fields });
  }
}
