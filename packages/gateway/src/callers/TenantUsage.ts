import type * as tenant from '../contracts/Tenant.js';
import * as arrivalWindow from './ArrivalWindow.js';
import type * as quotaUsage from './QuotaUsage.js';

// Notices are sent every 250 ms, and one may be lost: what was said this long before a VM was heard is known to it. The time counts from
// when it was heard, not from now, since a VM that is cut off or frozen knows nothing newer.
const NOTICE_DELAY_MS = 400;

// A total that another VM reported is used for this time.
const TOTAL_LIFETIME_MS = 600;

// The total of a tenant is passed on when it exceeds this share of the quota.
const RELAYED_SHARE = 0.5;

// Notices that are kept until the other VMs are known to have received them.
const MAX_REPORTS = 16;

interface PeerCount {
  readonly run: number;
  readonly sent: number;
  readonly pending: number;
  readonly interest: quotaUsage.QuotaUsage['interest'];
  readonly atMs: number;
}

interface Report {
  readonly atMs: number;
  readonly charged: number;
}

/** Requests of one tenant: those of this VM, and what other VMs reported of theirs. */
export class TenantUsage {
  private readonly own: arrivalWindow.ArrivalWindow;

  private readonly others: arrivalWindow.ArrivalWindow;

  private readonly peers = new Map<string, PeerCount>();

  private peerPending = 0;

  // Other VMs that get requests of the tenant.
  private interested = 0;

  private sent = 0;

  private pending = 0;

  // What the latest notices said, oldest first, and the part that the other VMs know.
  private reports: Report[] = [];

  private confirmed = 0;

  private reportedAtMs = -Infinity;

  // Greatest number of requests of all VMs that another VM reported lately.
  private reportedTotal = 0;

  private reportedTotalAtMs = -Infinity;

  // Requests of all VMs beyond what the refill has made up for.
  private level = 0;

  private levelAtMs = -Infinity;

  private takenAtMs = -Infinity;

  /**
   * @param quota - Quota of the tenant.
   * @param windowMs - Length of the window, in milliseconds.
   */
  constructor(public quota: tenant.TenantQuota, private readonly windowMs: number) {
    this.own = new arrivalWindow.ArrivalWindow(windowMs);
    this.others = new arrivalWindow.ArrivalWindow(windowMs);
  }

  /** Computes the number of requests that the quota permits in a window. */
  computeBound(): number {
    return Math.max(1, (this.quota.perSecond * this.windowMs) / 1_000 + this.quota.burst);
  }

  /**
   * Records a request that was admitted.
   * @param nowMs - Current time.
   */
  recordAdmitted(nowMs: number): void {
    this.pending += 1;
    this.addLevel(1, nowMs);
  }

  /** Records that an admitted request ended before it was sent. */
  recordUnsent(): void {
    this.pending = Math.max(0, this.pending - 1);
    this.level = Math.max(0, this.level - 1);
  }

  /**
   * Records a request that was sent.
   * @param from - Whether the request was admitted and waited for this, or was sent before.
   * @param nowMs - Current time.
   */
  recordSent(from: 'pending' | 'sent', nowMs: number): void {
    if (from === 'pending') this.pending = Math.max(0, this.pending - 1);
    else this.addLevel(1, nowMs);
    this.sent += 1;
    this.own.add(1, nowMs, nowMs);
  }

  /**
   * Records that a request which was sent did not run.
   * @param sentAtMs - Time at which it was sent.
   * @param nowMs - Current time.
   */
  recordNotRun(sentAtMs: number, nowMs: number): void {
    this.sent -= 1;
    this.own.add(-1, sentAtMs, nowMs);
    this.level = Math.max(0, this.level - 1);
  }

  /**
   * Records the requests of another VM.
   * @param from - Name of the VM.
   * @param run - Run of its process.
   * @param row - Requests of the VM.
   * @param nowMs - Current time.
   */
  recordPeer(from: string, run: number, row: quotaUsage.QuotaUsage, nowMs: number): void {
    const known = this.peers.get(from);
    if (known === undefined || known.run !== run || nowMs - known.atMs > this.windowMs) {
      const added = known?.run === run ? Math.min(row.inWindow, row.sent - known.sent) : row.inWindow;
      this.others.addPast(added, row.recent, this.windowMs, nowMs);
      this.addLevel(row.pending, nowMs);
    } else {
      const added = Math.min(row.inWindow, row.sent - known.sent);
      this.others.addPast(added, row.recent, nowMs - known.atMs, nowMs);
      this.addLevel(row.sent - known.sent + row.pending - known.pending, nowMs);
    }
    this.peerPending += row.pending - (known?.pending ?? 0);
    const { sent, pending, interest } = row;
    this.peers.set(from, {
      run, sent, pending, interest, atMs: nowMs,
    });
    this.interested += TenantUsage.countInterest(row) - TenantUsage.countInterest(known);
    if (row.total >= this.reportedTotal || nowMs - this.reportedTotalAtMs > TOTAL_LIFETIME_MS) {
      this.reportedTotal = row.total;
      this.reportedTotalAtMs = nowMs;
    }
  }

  /**
   * Forgets VMs that reported nothing for a window: what they sent has left it.
   * @param nowMs - Current time.
   */
  prune(nowMs: number): void {
    this.peers.forEach((peer, name) => {
      if (nowMs - peer.atMs <= this.windowMs) return;
      this.peerPending -= peer.pending;
      this.interested -= TenantUsage.countInterest(peer);
      this.peers.delete(name);
    });
  }

  /**
   * Records that this VM tells the others what it has sent.
   * @param nowMs - Current time.
   */
  report(nowMs: number): void {
    this.reportedAtMs = nowMs;
    // Without contact no notice is known to have arrived: the latest ones are merged.
    if (this.reports.length >= MAX_REPORTS) this.reports.pop();
    this.reports.push({ atMs: nowMs, charged: this.sent + this.pending });
  }

  /**
   * Counts the requests of this VM that the others may not know of.
   * @param heardAtMs - Time at which the VM in contact that was silent for longest was heard.
   * @param nowMs - Current time.
   */
  countUnknown(heardAtMs: number, nowMs: number): number {
    const knownAtMs = Math.min(nowMs, heardAtMs) - NOTICE_DELAY_MS;
    while (this.reports.length > 0 && this.reports[0]!.atMs <= knownAtMs) this.confirmed = this.reports.shift()!.charged;
    return Math.max(0, this.sent + this.pending - this.confirmed);
  }

  /**
   * Counts the requests of all VMs in the window, as far as this VM knows from those that sent them.
   * @param nowMs - Current time.
   */
  countKnown(nowMs: number): number {
    return this.own.count(nowMs) + this.pending + this.others.count(nowMs) + this.peerPending;
  }

  /**
   * Counts the requests of this VM in the window, with those that were not sent yet.
   * @param nowMs - Current time.
   */
  countOwn(nowMs: number): number {
    return this.own.count(nowMs) + this.pending;
  }

  /** Counts the requests that were admitted and not sent yet. */
  countPending(): number {
    return this.pending;
  }

  /** Counts the VMs that get requests of the tenant, this one included. */
  countInterested(): number {
    return this.interested + 1;
  }

  /**
   * Computes the time since the others were told of the requests, in milliseconds.
   * @param nowMs - Current time.
   */
  computeReportAgeMs(nowMs: number): number {
    return nowMs - this.reportedAtMs;
  }

  /**
   * Counts the requests of all VMs in the window that another VM knows of.
   * @param nowMs - Current time.
   */
  countReported(nowMs: number): number {
    return nowMs - this.reportedTotalAtMs > TOTAL_LIFETIME_MS ? 0 : this.reportedTotal;
  }

  /**
   * Computes the requests of all VMs beyond those that an even rate permits.
   * @param nowMs - Current time.
   */
  computeLevel(nowMs: number): number {
    this.addLevel(0, nowMs);
    return this.level;
  }

  /**
   * Computes the time until a request leaves the window, in milliseconds.
   * @param nowMs - Current time.
   */
  computeReleaseMs(nowMs: number): number {
    return Math.min(this.own.computeReleaseMs(1, nowMs), this.others.computeReleaseMs(1, nowMs));
  }

  /**
   * Records that a request arrived at this VM, whether it is admitted or not.
   * @param nowMs - Current time.
   */
  recordDemand(nowMs: number): void {
    this.takenAtMs = nowMs;
  }

  /**
   * Whether the other VMs need to know of the requests of this VM.
   * @param nowMs - Current time.
   */
  isActive(nowMs: number): boolean {
    return this.pending > 0 || nowMs - this.takenAtMs <= this.windowMs || this.own.count(nowMs) > 0;
  }

  /**
   * Whether the other VMs need to know the total, since they may not hear of all requests: some VMs do not know each other, or two that are
   * cut off from each other could use up the quota twice.
   * @param contacts - Whether some VMs do not hear all others.
   * @param nowMs - Current time.
   */
  needsRelay(contacts: 'listed' | 'some-joined', nowMs: number): boolean {
    const count = this.others.count(nowMs) + this.peerPending;
    return count >= 1 && (contacts === 'some-joined' || count > this.computeBound() * RELAYED_SHARE);
  }

  /**
   * Builds the row for other VMs.
   * @param name - Name of the tenant.
   * @param nowMs - Current time.
   */
  buildRow(name: string, nowMs: number): quotaUsage.QuotaUsage {
    const interest = this.isActive(nowMs) ? 'interested' : 'none';
    return {
      tenant: name,
      interest,
      sent: this.sent,
      inWindow: this.own.count(nowMs),
      recent: this.own.countRecent(nowMs),
      pending: this.pending,
      total: Math.round(this.countKnown(nowMs)),
    };
  }

  private static countInterest(row: Pick<quotaUsage.QuotaUsage, 'interest'> | undefined): number {
    return row?.interest === 'interested' ? 1 : 0;
  }

  private addLevel(count: number, nowMs: number): void {
    const refilled = this.levelAtMs === -Infinity ? 0 : (this.computeBound() * (nowMs - this.levelAtMs)) / this.windowMs;
    this.level = Math.max(0, Math.max(0, this.level - refilled) + count);
    this.levelAtMs = nowMs;
  }
}
