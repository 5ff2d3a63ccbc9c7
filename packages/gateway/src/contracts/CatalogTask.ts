import * as core from '@tamarackferry/core';

import type * as gatewayOutput from '../callers/GatewayOutput.js';
import type * as routedRequestMessage from '../callers/RoutedRequestMessage.js';
import type * as membershipMessage from '../vms/MembershipMessage.js';
import * as catalog from './Catalog.js';
import type * as catalogChange from './CatalogChange.js';
import type * as catalogMessage from './CatalogMessage.js';
import * as catalogTiming from './CatalogTiming.js';
import * as retainedInstances from './RetainedInstances.js';
import * as storeContact from './StoreContact.js';
import type * as storeOutage from './StoreOutage.js';
import * as watcherContact from './WatcherContact.js';

// A starting seed, from which the others discover the fleet, or a starting VM that callers already use, waits for a catalog from other VMs
// for this time before it reads the store itself: some round trips in a region. If all VMs were killed together, no other VM has a catalog,
// and requests are held during this time.
const START_TIMEOUT_MS = 80;

// Any other starting VM waits longer, by a random time of up to the second value in addition. Otherwise all VMs of a fleet that starts
// would read the whole store.
const START_PEER_TIMEOUT_MS = 1_500;
const START_PEER_SPREAD_MS = 1_500;

// It fetches the first catalog from a VM of another place only after a random part of this time, so that few VMs of a place do, and the
// rest fetch it from them.
const OTHER_PLACE_SPREAD_MS = 1_000;

// A fetch from another VM normally takes some round trips. While one is in progress, no second one is started for this time.
const FETCH_SPAN_MS = 700;

// If the latest confirmation is older than this, a newer configuration may contain a route that is missing here.
const MAX_CURRENT_AGE_MS = 4_000;

// Interval of the checks of the age of the catalog.
const CHECK_PERIOD_MS = 1_000;
// The store counts as stable three seconds after an outage; all readers must have reconnected by then. Watchers try more often, since how
// long instances are retained depends on when they notice the end of the outage.
const MAX_BACKOFF_MS = { watcher: 400, follower: 1_000 } as const;

// Timers may fire this much too early.
const EARLY_TIMER_MS = 1;

type PeerNews = Extract<catalogMessage.CatalogMessage, { type: 'peer-revision-received' }>;

/** Options of a `CatalogTask`. */
export interface CatalogTaskOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<catalogMessage.CatalogOutput | gatewayOutput.GatewayOutput>;
  readonly requests: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>;
  readonly membership: core.tasks.Mailbox<membershipMessage.MembershipMessage>;
  /** Whether the VM reads the store soon after its start, or waits longer for a catalog from other VMs. */
  readonly startReading: 'at-once' | 'after-peers';
  readonly bounds: catalogTiming.CatalogBounds;
}

/**
 * Owns the catalog of the VM (configuration and instances) and decides when it is read from the store and when from other VMs. The catalog
 * is confirmed when the store, or another VM with a recent confirmation, states that there is no newer revision.
 */
export class CatalogTask extends core.tasks.Task<catalogMessage.CatalogMessage> {
  private readonly catalog = new catalog.Catalog();

  private readonly retained = new retainedInstances.RetainedInstances();

  private readonly timing: catalogTiming.CatalogTiming;

  private readonly contact: storeContact.StoreContact;

  private readonly watchers: watcherContact.WatcherContact;

  // A watcher reads the store itself; a follower fetches catalog updates from other VMs.
  private role: 'watcher' | 'follower' = 'follower';

  // Progress of reading the store; `waiting` is a pause before the next call.
  private reading: 'idle' | 'snapshot' | 'watching' | 'waiting' = 'idle';

  private storeState: 'unknown' | 'reached' | 'lost' = 'unknown';

  // `complete` once a first snapshot was applied.
  private contents: 'empty' | 'complete' = 'empty';

  // Time at which the store last answered this VM.
  private answeredAtMs = -Infinity;

  // State in the latest message to the request task.
  private announcedState: 'current' | 'stale' = 'stale';

  private startedAtMs = 0;

  // Check of whether the watchers are silent.
  private silenceCheck: 'none' | 'scheduled' = 'none';

  // Times until which the first catalog is awaited from other VMs, and from those of the same place only.
  private awaitsPeersUntilMs = Infinity;

  private awaitsPlaceUntilMs = 0;

  // Era of the catalog when the latest watch began.
  private watchedEra = 0;

  // Time at which this VM, without a catalog before, read the store in an era after a return of it, until it has heard what other VMs know
  // from before the return; Infinity if it needs nothing of that.
  private copyReadAtMs = Infinity;

  private backoffMs = catalogTiming.FIRST_RETRY_MS;

  // Start time of the catalog update that is being fetched; -Infinity if none is.
  private fetchStartedAtMs = -Infinity;

  // Latest revision that another VM announced while an update was being fetched.
  private deferredNews: PeerNews | undefined;

  private readonly timers: core.time.TimerSubscription[] = [];

  /** @param options - Dependencies and settings of the task. */
  constructor(private readonly options: CatalogTaskOptions) {
    super(options.scheduler);
    this.timing = new catalogTiming.CatalogTiming(options.bounds);
    this.contact = new storeContact.StoreContact(this.timing, options.random);
    this.watchers = new watcherContact.WatcherContact(this.timing);
  }

  /** Describes the state of the catalog, for gauges. */
  describe(): {
    readonly version: number; readonly era: number; readonly revision: number; readonly confirmedAgeMs: number; readonly instances: number;
  } {
    return {
      version: this.getVersion(),
      era: this.catalog.getEra(),
      revision: this.catalog.getRevision(),
      confirmedAgeMs: this.options.timers.getNowMs() - this.contact.getConfirmedAtMs(),
      instances: this.catalog.listInstances().length,
    };
  }

  /** @internal */
  override handle(message: catalogMessage.CatalogMessage): void {
    switch (message.type) {
      case 'start':
        this.beginStart();
        this.timers.push(this.options.timers.subscribe({
          mailbox: this, message: { type: 'check' as const }, delayMs: START_TIMEOUT_MS, periodMs: CHECK_PERIOD_MS,
        }));
        break;
      case 'stop':
        this.timers.forEach((timer) => timer.cancel());
        this.options.outbox.post({ type: 'stop-reading' });
        break;
      case 'catalog-needed':
        this.awaitsPeersUntilMs = this.startedAtMs + START_TIMEOUT_MS;
        this.awaitsPlaceUntilMs = 0;
        this.readIfNeeded();
        break;
      case 'role-chosen':
        this.role = message.role;
        this.readIfNeeded();
        this.scheduleSilenceCheck();
        break;
      case 'snapshot-read':
        this.handleSnapshot(message.snapshot);
        break;
      case 'changes-read':
        this.handleChanges(message);
        break;
      case 'history-lost':
        this.contact.recordAnswer();
        this.log('store-history-lost', {});
        this.readSnapshot();
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
        this.endFetch();
        break;
      case 'peer-unreadable':
        this.handleUnreadable();
        break;
      case 'update-requested':
        message.replyTo.post(this.buildUpdate(message.afterRevision));
        break;
      case 'read-due':
        this.reading = 'idle';
        this.readIfNeeded();
        break;
      case 'direct-read-due':
        this.readIfNeeded();
        break;
      case 'check':
        this.checkAge();
        break;
      case 'retention-check-due':
        this.checkRetention();
        break;
      case 'silence-check-due':
        // Timers may fire a little early; then the check is scheduled again.
        this.silenceCheck = 'none';
        this.readIfNeeded();
        this.scheduleSilenceCheck();
        break;
      // no default
    }
  }

  private beginStart(): void {
    const { random, startReading } = this.options;
    this.startedAtMs = this.options.timers.getNowMs();
    this.watchers.recordStart(this.startedAtMs);
    const timeoutMs = startReading === 'at-once' ? START_TIMEOUT_MS : START_PEER_TIMEOUT_MS + START_PEER_SPREAD_MS * random.drawFraction();
    this.awaitsPeersUntilMs = this.startedAtMs + timeoutMs;
    this.awaitsPlaceUntilMs = startReading === 'at-once' ? 0 : this.startedAtMs + OTHER_PLACE_SPREAD_MS * random.drawFraction();
  }

  private readIfNeeded(): void {
    if (this.reading !== 'idle') return;
    const nowMs = this.options.timers.getNowMs();
    if (this.role === 'follower' && this.canFollow(nowMs)) return;
    if (this.contents === 'empty') {
      this.readSnapshot();
      return;
    }
    this.reading = 'watching';
    this.watchedEra = this.catalog.getEra();
    this.contact.recordRead(nowMs);
    // After a failure, the first call does not wait for changes, so that its answer shows at once that the store responds again.
    const waitMs = this.storeState === 'lost' ? 0 : this.timing.computeWatchWaitMs(Math.max(0, nowMs - this.answeredAtMs));
    this.options.outbox.post({
      type: 'watch-changes', afterRevision: this.catalog.getRevision(), waitMs: Math.min(waitMs, this.computeReturnWaitMs(nowMs)),
    });
  }

  // While instances are retained after a return of the store, a watch ends with the retention, so that its answer confirms what is missing.
  private computeReturnWaitMs(nowMs: number): number {
    const endMs = this.retained.hasRetained() ? this.contact.getReturnEndMs(nowMs) : undefined;
    return endMs === undefined ? Infinity : Math.max(0, Math.ceil(endMs - nowMs));
  }

  // Whether the VM can rely on others for changes of the catalog.
  private canFollow(nowMs: number): boolean {
    return this.contents === 'empty'
      ? nowMs <= this.awaitsPeersUntilMs
      : this.watchers.decide(this.contact.getConfirmedAtMs(), nowMs) === 'follow';
  }

  private scheduleSilenceCheck(): void {
    const nowMs = this.options.timers.getNowMs();
    const remainingMs = this.watchers.computeSilenceEndMs() - nowMs;
    if (this.role === 'watcher' || this.silenceCheck === 'scheduled' || remainingMs <= 0) return;
    this.silenceCheck = 'scheduled';
    const delayMs = remainingMs + catalogTiming.SILENCE_SPREAD_MS * this.options.random.drawFraction();
    this.options.timers.subscribe({ mailbox: this, message: { type: 'silence-check-due' as const }, delayMs });
  }

  private readSnapshot(): void {
    this.reading = 'snapshot';
    this.contact.recordRead(this.options.timers.getNowMs());
    this.options.outbox.post({ type: 'read-snapshot' });
  }

  private scheduleRead(delayMs: number): void {
    this.reading = 'waiting';
    this.options.timers.subscribe({ mailbox: this, message: { type: 'read-due' as const }, delayMs });
  }

  private computePauseMs(): number {
    return this.retained.hasRetained() ? catalogTiming.RETENTION_WATCH_PAUSE_MS : catalogTiming.WATCH_PAUSE_MS;
  }

  private handleSnapshot(snapshot: catalogChange.CatalogSnapshot): void {
    const era = snapshot.era ?? 0;
    if (era < this.catalog.getEra()) {
      this.handleFailure('older-era', `era ${era}`);
      return;
    }
    const nowMs = this.options.timers.getNowMs();
    this.handleStoreReached();
    this.applySnapshot(snapshot, 'store', nowMs, nowMs);
    this.scheduleRead(0);
  }

  // The changes are of use only if the revision after which they are is of the same era: a store that came back from an older copy has
  // issued other changes up to that revision.
  private handleChanges({ changes, revision, era = 0 }: Extract<catalogMessage.CatalogMessage, { type: 'changes-read' }>): void {
    if (era < this.catalog.getEra()) {
      this.handleFailure('older-era', `era ${era}`);
      return;
    }
    this.handleStoreReached();
    if (era !== this.watchedEra) {
      this.readSnapshot();
      return;
    }
    this.finishReading(this.catalog.applyChanges(changes, revision), 'store');
    this.scheduleRead(changes.length === 0 ? 0 : this.computePauseMs());
  }

  // Instances that are missing in a new era are retained from the return of the store on.
  private applySnapshot(
    snapshot: catalogChange.CatalogSnapshot,
    source: 'store' | 'peer',
    returnedAtMs: number,
    confirmedAtMs: number,
    report?: storeOutage.StoreReport,
  ): void {
    const era = snapshot.era ?? 0;
    const previousEra = this.catalog.getEra();
    const previousRevision = this.catalog.getRevision();
    if (era > previousEra) this.contact.recordEra(era, returnedAtMs, snapshot.revision, this.contents === 'empty' ? 'no' : 'yes');
    if (report !== undefined) this.applyReport(report, this.options.timers.getNowMs());
    const isChanged = this.contents === 'complete' && era > previousEra;
    if (source === 'peer' && era >= this.catalog.getEra()) this.copyReadAtMs = Infinity;
    else if (source === 'store' && era > 0 && this.contents === 'empty') this.copyReadAtMs = confirmedAtMs;
    this.finishReading(this.catalog.applySnapshot(snapshot), source, confirmedAtMs, isChanged ? 'changed' : 'unchanged');
    if (!isChanged) return;
    const stored = snapshot.changes.find((change) => change.type === 'configuration');
    this.log('store-era-changed', {
      era,
      previousEra,
      revision: snapshot.revision,
      previousRevision,
      version: this.getVersion(),
      storeVersion: stored?.type === 'configuration' ? stored.configuration.version : 0,
      retained: this.retained.countRetained(),
      source,
    });
  }

  private getVersion(): number {
    return this.catalog.getConfiguration()?.version ?? 0;
  }

  private handleStoreReached(): void {
    this.backoffMs = catalogTiming.FIRST_RETRY_MS;
    this.answeredAtMs = this.options.timers.getNowMs();
    this.contact.recordAnswer();
    if (this.storeState !== 'reached') this.log('store-reached', { revision: this.catalog.getRevision() });
    this.storeState = 'reached';
  }

  private handleFailure(reason: catalogMessage.ReadFailureReason, detail: string): void {
    if (this.storeState !== 'lost') this.log('store-lost', { reason, detail, confirmedAgeMs: this.computeConfirmedAgeMs() });
    this.storeState = 'lost';
    this.contact.recordFailure(reason);
    // Jitter prevents the VMs from reconnecting to the store at the same moment.
    this.scheduleRead(this.backoffMs * (0.5 + this.options.random.drawFraction()));
    this.backoffMs = Math.min(MAX_BACKOFF_MS[this.role], this.backoffMs * 2);
  }

  private handlePeerRevision(received: PeerNews): void {
    const nowMs = this.options.timers.getNowMs();
    this.applyReport(received.store, nowMs);
    if (received.role === 'watcher' && received.distance === 'same-place') {
      this.watchers.recordHeartbeat(nowMs);
      this.scheduleSilenceCheck();
    }
    const order = this.catalog.comparePosition(received.store.era ?? 0, received.revision);
    if (this.contents === 'complete' && order <= 0) {
      if (order === 0) this.recordConfirmation(nowMs - received.confirmedAgeMs);
      if (!this.needsConfiguration(received) && !this.needsRemovals(received, nowMs)) return;
    }
    // A VM without a catalog states the revision 0.
    if (received.revision === 0) return;
    if (nowMs - this.fetchStartedAtMs < FETCH_SPAN_MS) {
      this.deferredNews = received;
      return;
    }
    if (this.contents === 'empty') {
      if (received.confirmedAgeMs > MAX_CURRENT_AGE_MS && this.storeState !== 'lost') {
        // An instance or a route of that catalog may have been withdrawn, which this VM must not use again after a restart.
        this.awaitsPeersUntilMs = -Infinity;
        this.readIfNeeded();
        return;
      }
      if (received.distance === 'other-place' && nowMs < this.awaitsPlaceUntilMs) return;
    }
    const canContinue = this.contents === 'complete' && order > 0 && (received.store.era ?? 0) === this.catalog.getEra();
    this.fetchUpdate(received.host, canContinue ? this.catalog.getRevision() : -1);
  }

  private fetchUpdate(host: string, afterRevision: number): void {
    this.fetchStartedAtMs = this.options.timers.getNowMs();
    this.options.outbox.post({ type: 'fetch-update', host, afterRevision });
  }

  // A VM that started after the store came back may have read an older configuration than the one in force.
  private needsConfiguration({ store: { version = 0 } }: PeerNews): boolean {
    return version > this.getVersion();
  }

  // It may also have read instances that were removed before the return. VMs that saw the return know of them.
  private needsRemovals({ store: { era = 0, eraAgeMs = 0 } }: PeerNews, nowMs: number): boolean {
    return era === this.catalog.getEra() && nowMs - eraAgeMs < this.copyReadAtMs && this.copyReadAtMs !== Infinity;
  }

  // Instances that are retained although the store was available are dropped when a VM says so.
  private applyReport(report: storeOutage.StoreReport, nowMs: number): void {
    this.contact.applyReport(report, nowMs);
    if (this.retained.hasRetained() && this.contact.getRetention(nowMs) === undefined) this.publishInstances('peer');
  }

  private handleUpdate(host: string, update: catalogMessage.CatalogUpdate): void {
    const nowMs = this.options.timers.getNowMs();
    const era = (update.type === 'snapshot' ? update.snapshot.era : update.era) ?? 0;
    const isOlder = era < this.catalog.getEra();
    // A VM of an older era confirms nothing.
    const confirmedAtMs = isOlder ? -Infinity : nowMs - update.confirmedAgeMs;
    if (update.type === 'snapshot') {
      this.applySnapshot(update.snapshot, 'peer', nowMs - (update.store.eraAgeMs ?? 0), confirmedAtMs, update.store);
    } else if (era === this.catalog.getEra() && (update.afterRevision ?? 0) <= this.catalog.getRevision()) {
      this.applyReport(update.store, nowMs);
      this.finishReading(this.catalog.applyChanges(update.changes, update.revision), 'peer', confirmedAtMs);
    } else if (!isOlder) {
      // The changes are those after a revision of another era.
      this.fetchUpdate(host, -1);
      return;
    }
    this.endFetch();
  }

  // All VMs of a place may be unable to read an update at the same moment, so they spread their calls.
  private handleUnreadable(): void {
    const nowMs = this.options.timers.getNowMs();
    this.watchers.recordUnreadable(nowMs);
    this.awaitsPeersUntilMs = Math.min(this.awaitsPeersUntilMs, nowMs);
    const delayMs = EARLY_TIMER_MS + catalogTiming.SILENCE_SPREAD_MS * this.options.random.drawFraction();
    this.options.timers.subscribe({ mailbox: this, message: { type: 'direct-read-due' as const }, delayMs });
    this.endFetch();
  }

  // A revision announced meanwhile is fetched now; its age was measured when it was announced.
  private endFetch(): void {
    this.fetchStartedAtMs = -Infinity;
    const news = this.deferredNews;
    this.deferredNews = undefined;
    if (news === undefined) return;
    const isNewer = this.catalog.comparePosition(news.store.era ?? 0, news.revision) > 0;
    if (this.contents === 'empty' || isNewer || this.needsConfiguration(news)) this.handlePeerRevision(news);
  }

  private finishReading(
    changedParts: ReadonlySet<catalog.CatalogPart>,
    source: 'store' | 'peer',
    confirmedAtMs = this.options.timers.getNowMs(),
    era: 'changed' | 'unchanged' = 'unchanged',
  ): void {
    const wasEmpty = this.contents === 'empty';
    this.contents = 'complete';
    this.recordConfirmation(confirmedAtMs);
    if (source === 'store') this.contact.recordRemovals(this.catalog.getRevision(), confirmedAtMs);
    const current = this.catalog.getConfiguration();
    if (changedParts.has('configuration') && current !== undefined) {
      this.options.requests.post({ type: 'configuration-changed', configuration: current });
      this.log('configuration-in-force', { version: current.version, revision: this.catalog.getRevision(), source });
    }
    if (changedParts.has('instances')) this.publishInstances(source);
    if (changedParts.size > 0 || wasEmpty || era === 'changed') this.announceRevision('changed');
  }

  // The source `lapse` means that retained instances are dropped.
  private publishInstances(source: 'store' | 'peer' | 'lapse'): void {
    const nowMs = this.options.timers.getNowMs();
    const retention = this.contact.getRetention(nowMs);
    const inUse = this.retained.updateInUse(this.catalog.listInstances(), (id) => this.catalog.getRemovalRevision(id), retention);
    this.options.requests.post({ type: 'instances-changed', records: inUse });
    this.log('instances-changed', {
      count: inUse.length, draining: inUse.filter((record) => record.state === 'draining').length, revision: this.catalog.getRevision(), source,
    });
    this.checkRetention();
  }

  // Drops the retained instances at the end of the retention, which may change when other VMs report the same outage.
  private checkRetention(): void {
    if (!this.retained.hasRetained()) return;
    const nowMs = this.options.timers.getNowMs();
    const retention = this.contact.getRetention(nowMs);
    if (retention === undefined) {
      this.publishInstances('lapse');
      // The other VMs hear of the confirmation with it, and drop theirs.
      if (this.catalog.getEra() > 0) this.announceRevision('changed');
      return;
    }
    const delayMs = retention.untilMs - nowMs + EARLY_TIMER_MS;
    this.options.timers.subscribe({ mailbox: this, message: { type: 'retention-check-due' as const }, delayMs });
  }

  // Drops the retained instances as soon as the end of their time is confirmed.
  private checkLapse(): void {
    if (this.contact.getRetention(this.options.timers.getNowMs()) === undefined) this.checkRetention();
  }

  private recordConfirmation(confirmedAtMs: number): void {
    const result = this.contact.recordConfirmation(confirmedAtMs, this.catalog.getRevision());
    if (result === 'outdated') return;
    if (result === 'outage-ended') this.log('store-outage-ended', { revision: this.catalog.getRevision() });
    // The other VMs must hear of the end of an outage at once, since they retain instances from then on.
    this.announceRevision(result === 'outage-ended' ? 'changed' : 'unchanged');
    this.announceState();
    if (this.catalog.getEra() > 0 && this.retained.hasRetained()) this.checkLapse();
  }

  private checkAge(): void {
    this.announceState();
    this.readIfNeeded();
    this.scheduleSilenceCheck();
  }

  private announceState(): void {
    const state = this.computeConfirmedAgeMs() <= MAX_CURRENT_AGE_MS ? 'current' : 'stale';
    if (state === this.announcedState) return;
    this.announcedState = state;
    this.options.requests.post({ type: 'catalog-state', state });
    this.log(state === 'current' ? 'catalog-current' : 'catalog-stale', { revision: this.catalog.getRevision() });
  }

  private announceRevision(content: 'changed' | 'unchanged'): void {
    this.options.membership.post({
      type: 'catalog-status',
      revision: this.catalog.getRevision(),
      store: this.contact.getStatus(this.getVersion()),
      content,
      configuration: this.catalog.getConfiguration() === undefined ? 'missing' : 'present',
    });
  }

  private buildUpdate(afterRevision: number): catalogMessage.CatalogUpdate {
    const confirmedAgeMs = this.computeConfirmedAgeMs();
    const store = storeContact.StoreContact.buildReport(this.contact.getStatus(this.getVersion()), this.options.timers.getNowMs());
    const era = this.catalog.getEra();
    const changes: catalogChange.CatalogChange[] | undefined = afterRevision < 0 ? undefined : this.catalog.listChangesAfter(afterRevision);
    return changes === undefined
      ? {
        type: 'snapshot', confirmedAgeMs, store, snapshot: this.catalog.buildSnapshot(),
      }
      : {
        type: 'changes', confirmedAgeMs, store, revision: this.catalog.getRevision(), changes, ...era === 0 ? {} : { era, afterRevision },
      };
  }

  private computeConfirmedAgeMs(): number {
    // The age is infinite before the first confirmation, which JSON cannot represent.
    return Math.min(1e9, Math.round(this.options.timers.getNowMs() - this.contact.getConfirmedAtMs()));
  }

  private log(event: string, fields: gatewayOutput.LogFields): void {
    this.options.outbox.post({ type: 'log', event, fields });
  }
}
