import type * as core from '@tamarackferry/core';

import type * as tenant from '../contracts/Tenant.js';
import * as quotaMembers from './QuotaMembers.js';
import * as quotaShare from './QuotaShare.js';
import type * as quotaUsage from './QuotaUsage.js';
import * as tenantUsage from './TenantUsage.js';

const MS_PER_S = 1_000;

// Time for which callers may still use a VM, if the settings say nothing else.
const DEFAULT_CALLER_SPAN_MS = 15_000;

// A VM that the directory does not return needs no part of the quotas when it got no request for this time.
const LEAVE_AFTER_MS = 2_000;

// While VMs start, callers reach most of them.
const START_SPAN_MS = 3_000;

// A process that has just started does not know how many VMs there are until it has heard of them.
const DISCOVERY_MS = 500;

// Notices that say that a VM leaves; one of them may be lost.
const LEAVE_NOTICES = 3;

// The others know of the requests of a VM for a tenant after one notice sent at once and one of the usual interval.
const INTEREST_DELAY_MS = 300;

// A request that exceeds the share of this VM can be admitted when the next notices have been exchanged.
const SHARE_RETRY_MS = 300;

// Runs of a process are told apart by a random number below this one.
const RUN_NUMBERS = 2 ** 31;

// Rows of one notice. A tenant that is left out is sent with the next one; until then this VM counts its requests as unknown to the others.
const MAX_ROWS = 128;

/** Whether a request is within the quota of its tenant. */
export type QuotaDecision =
  | { readonly type: 'admitted' }
  | { readonly type: 'exceeded'; readonly retryAfterMs: number; readonly shortage: quotaShare.QuotaShortage };

interface QuotaEntry {
  readonly usage: tenantUsage.TenantUsage;
  // Time at which the others were first told that this VM gets requests of the tenant; undefined if they were not, or have forgotten.
  announcedAtMs: number | undefined;
  // Time at which the caller that was refused last is to come back.
  returnAtMs: number;
}

const ADMITTED: QuotaDecision = { type: 'admitted' };

/** Keeps the requests of each tenant within its quota, over all VMs together. */
export class TenantQuotas {
  private entries = new Map<string, QuotaEntry>();

  private readonly members: quotaMembers.QuotaMembers;

  private readonly share: quotaShare.QuotaShare;

  // Number that identifies this run of the process; drawn when it is sent first, so that nothing is drawn without quotas.
  private run: number | undefined;

  private startedAtMs: number | undefined;

  private demandAtMs = -Infinity;

  // Whether the directory returns this VM; until the first message about it, it may.
  private listed: 'listed' | 'unlisted' = 'listed';

  private sequence = 0;

  private leaveNotices = 0;

  /**
   * @param vm - Name of this VM.
   * @param bounds - Bounds within which the quotas must hold.
   * @param random - Random source for the number of this run of the process.
   */
  constructor(vm: string, private readonly bounds: quotaShare.QuotaBounds, private readonly random: core.randomness.RandomSource) {
    const { servingVms = 1, callerSpanMs = DEFAULT_CALLER_SPAN_MS, windowMs } = bounds;
    this.members = new quotaMembers.QuotaMembers(vm, servingVms, callerSpanMs, windowMs);
    this.share = new quotaShare.QuotaShare(bounds);
  }

  /** Whether any tenant has a quota. */
  hasQuotas(): boolean {
    return this.entries.size > 0;
  }

  /**
   * Applies the quotas of a newer configuration.
   * @param tenants - Tenants of the configuration.
   * @param nowMs - Current time.
   */
  applyTenants(tenants: readonly tenant.Tenant[], nowMs: number): void {
    this.startedAtMs ??= nowMs;
    this.entries = new Map(tenants.flatMap(({ name, quota }): [string, QuotaEntry][] => {
      if (quota === undefined) return [];
      const entry = this.entries.get(name)
        ?? { usage: new tenantUsage.TenantUsage(quota, this.bounds.windowMs), announcedAtMs: undefined, returnAtMs: nowMs };
      entry.usage.quota = quota;
      return [[name, entry]];
    }));
  }

  /**
   * Records whether the directory returns this VM to callers.
   * @param listed - Whether it does.
   */
  setListed(listed: 'listed' | 'unlisted'): void {
    this.listed = listed;
  }

  /**
   * Takes a request from the quota of its tenant. It counts as admitted until `recordSent` or `release`.
   * @param name - Name of the tenant.
   * @param nowMs - Current time.
   */
  take(name: string, nowMs: number): QuotaDecision {
    const entry = this.entries.get(name);
    if (entry === undefined) return ADMITTED;
    const { usage } = entry;
    this.demandAtMs = nowMs;
    const shortage = this.findShortage(name, entry, nowMs);
    usage.recordDemand(nowMs);
    if (shortage !== undefined) return { type: 'exceeded', retryAfterMs: this.computeRetryMs(entry, shortage, nowMs), shortage };
    usage.recordAdmitted(nowMs);
    return ADMITTED;
  }

  /**
   * Whether the other VMs should be told at once that this VM gets requests of a tenant, since they leave it a greater share then.
   * @param name - Name of the tenant.
   */
  needsAnnouncement(name: string): boolean {
    const entry = this.entries.get(name);
    return entry !== undefined && entry.announcedAtMs === undefined;
  }

  /**
   * Returns a request to the quota, since it was sent to no instance.
   * @param name - Name of the tenant.
   */
  release(name: string): void {
    this.entries.get(name)?.usage.recordUnsent();
  }

  /**
   * Records that a request was sent to an instance. Retries and hedged requests count as well, but are not refused.
   * @param name - Name of the tenant.
   * @param from - Whether the request was admitted and waited for this, or was sent before.
   * @param nowMs - Current time.
   */
  recordSent(name: string, from: 'pending' | 'sent', nowMs: number): void {
    this.entries.get(name)?.usage.recordSent(from, nowMs);
  }

  /**
   * Records that a request which was sent did not run.
   * @param name - Name of the tenant.
   * @param sentAtMs - Time at which it was sent.
   * @param nowMs - Current time.
   */
  recordNotRun(name: string, sentAtMs: number, nowMs: number): void {
    this.entries.get(name)?.usage.recordNotRun(sentAtMs, nowMs);
  }

  /**
   * Lists what other VMs need to know of the requests of this VM. Undefined if they need to know nothing.
   * @param nowMs - Current time.
   */
  listUsage(nowMs: number): Omit<quotaUsage.QuotaNotice, 'from' | 'host'> | undefined {
    if (!this.hasQuotas()) return undefined;
    if (!this.isServing(nowMs)) return this.buildLeaveNotice(nowMs);
    this.leaveNotices = 0;
    const names = this.selectTenants(nowMs);
    names.forEach((name) => {
      const entry = this.entries.get(name)!;
      entry.usage.report(nowMs);
      if (entry.usage.isActive(nowMs)) entry.announcedAtMs ??= nowMs;
    });
    return this.buildNotice(this.listed === 'listed' ? 'listed' : 'joined', names, nowMs);
  }

  /** Lists the hosts of the VMs in contact. */
  listHosts(nowMs: number): readonly string[] {
    return this.members.listHosts(nowMs);
  }

  /**
   * Records what another VM has sent. Returns `new` if the VM was not known; it needs an answer at once.
   * @param notice - Notice of the other VM.
   * @param nowMs - Current time.
   */
  recordPeerUsage(notice: quotaUsage.QuotaNotice, nowMs: number): 'known' | 'new' {
    const order = this.members.record(notice, nowMs);
    if (order === 'outdated') return 'known';
    notice.rows.forEach((row) => this.entries.get(row.tenant)?.usage.recordPeer(notice.from, notice.run, row, nowMs));
    return order === 'first' && notice.standing !== 'leaving' ? 'new' : 'known';
  }

  private findShortage(name: string, entry: QuotaEntry, nowMs: number): quotaShare.QuotaShortage | undefined {
    const view = this.members.getView(nowMs);
    const ageMs = nowMs - (this.startedAtMs ?? nowMs);
    if (ageMs < DISCOVERY_MS && view.inContact < (this.bounds.servingVms ?? 1)) return 'share';
    const { announcedAtMs } = entry;
    return this.share.findShortage({
      usage: entry.usage,
      view,
      position: this.members.computePosition(name),
      ageMs,
      standing: this.listed === 'listed' ? 'serving' : 'spare',
      interest: announcedAtMs !== undefined && nowMs - announcedAtMs >= INTEREST_DELAY_MS ? 'known' : 'unknown',
    }, nowMs);
  }

  // Callers that are refused at the same time come back one after the other, as fast as this VM will be able to admit them.
  private computeRetryMs(entry: QuotaEntry, shortage: quotaShare.QuotaShortage, nowMs: number): number {
    const { usage } = entry;
    const { windowMs } = this.bounds;
    const intervalMs = (windowMs / usage.computeBound()) * usage.countInterested();
    const waitMs = shortage === 'window' ? usage.computeReleaseMs(nowMs) : Math.max(shortage === 'share' ? SHARE_RETRY_MS : 0, intervalMs);
    const next = Math.max(entry.returnAtMs, nowMs + waitMs) + intervalMs;
    const returnAtMs = next > nowMs + waitMs + windowMs ? nowMs + waitMs : next;
    Object.assign(entry, { returnAtMs });
    return Math.max(1, returnAtMs - nowMs);
  }

  private isServing(nowMs: number): boolean {
    return this.listed === 'listed' || nowMs - this.demandAtMs <= LEAVE_AFTER_MS || nowMs - (this.startedAtMs ?? nowMs) < START_SPAN_MS
      || [...this.entries.values()].some(({ usage }) => usage.countPending() > 0);
  }

  private buildLeaveNotice(nowMs: number): Omit<quotaUsage.QuotaNotice, 'from' | 'host'> | undefined {
    this.entries.forEach((entry) => {
      Object.assign(entry, { announcedAtMs: undefined });
    });
    this.leaveNotices += 1;
    return this.leaveNotices > LEAVE_NOTICES ? undefined : this.buildNotice('leaving', this.selectTenants(nowMs), nowMs);
  }

  // Tenants whose requests the others know least of come first.
  private selectTenants(nowMs: number): string[] {
    const { heardAtMs, contacts } = this.members.getView(nowMs);
    const active = [...this.entries].filter(([, entry]) => {
      entry.usage.prune(nowMs);
      const isActive = entry.usage.isActive(nowMs);
      if (!isActive) Object.assign(entry, { announcedAtMs: undefined });
      return isActive || entry.usage.needsRelay(contacts, nowMs);
    });
    if (active.length <= MAX_ROWS) return active.map(([name]) => name);
    return active
      .map(([name, { usage }]) => {
        const unknownShare = usage.countUnknown(heardAtMs, nowMs) / usage.computeBound();
        return { name, weight: unknownShare + usage.computeReportAgeMs(nowMs) / this.bounds.windowMs };
      })
      .sort((left, right) => right.weight - left.weight)
      .slice(0, MAX_ROWS)
      .map(({ name }) => name);
  }

  private buildNotice(
    standing: quotaUsage.QuotaNotice['standing'],
    names: readonly string[],
    nowMs: number,
  ): Omit<quotaUsage.QuotaNotice, 'from' | 'host'> {
    this.sequence += 1;
    this.run ??= this.random.drawInteger(RUN_NUMBERS);
    return {
      run: this.run,
      sequence: this.sequence,
      ageMs: Math.round(Math.min(MS_PER_S * 3_600, nowMs - (this.startedAtMs ?? nowMs))),
      standing,
      inContact: this.members.getView(nowMs).inContact,
      rows: names.map((name) => this.entries.get(name)!.usage.buildRow(name, nowMs)),
    };
  }
}
