import type * as quotaMembers from './QuotaMembers.js';
import type * as tenantUsage from './TenantUsage.js';

// Part of what all VMs may exceed a quota by that is divided among them. The rest is left for retries, which are counted but never refused,
// and for VMs that joined a moment ago.
const DIVIDED_SHARE = 0.75;

// Part of what all VMs may exceed a quota by that may be admitted at once after a pause, in addition to the burst. The remainder is for
// processes that start while what was admitted before them is still in the window.
const SAVED_SHARE = 0.35;
const START_SHARE = 0.5;

/** Bounds within which the quotas of tenants must hold. */
export interface QuotaBounds {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Part of a quota by which all VMs together may exceed it. */
  readonly overshootShare: number;
  /** Requests of a window by which all VMs together may exceed a quota in addition. */
  readonly slack: number;
  /** VMs that serve callers in the usual state of the fleet; 1 if missing. */
  readonly servingVms?: number;
  /** Time for which callers may still use a VM after the directory ceased to return it; 15 s if missing. */
  readonly callerSpanMs?: number;
}

/** What the decision about one request depends on. */
export interface QuotaSituation {
  readonly usage: tenantUsage.TenantUsage;
  readonly view: quotaMembers.MemberView;
  /** Position of this VM in the order of the tenant, from 0 to 1. */
  readonly position: number;
  /** Time for which this process has counted, in milliseconds. */
  readonly ageMs: number;
  /** `spare`: the directory does not return this VM, so that the others leave no part for it until they have heard of it. */
  readonly standing: 'serving' | 'spare';
  /** Whether the other VMs know that this one gets requests of the tenant. */
  readonly interest: 'known' | 'unknown';
}

/**
 * Why a request is not within the part of the quota that this VM may use.
 * - `window`: all VMs together have sent what the quota permits.
 * - `rate`: they have sent it faster than an even rate and the burst permit.
 * - `share`: this VM has sent its share of what the VMs may send before they know of each other's requests.
 */
export type QuotaShortage = 'window' | 'rate' | 'share';

/**
 * Divides a quota among the VMs, so that it holds whatever they do not know of each other. Load pattern: a tenant that sends many times its
 * quota through all VMs at once, also while they start or are cut off.
 */
export class QuotaShare {
  /** @param bounds - Bounds within which the quotas must hold. */
  constructor(private readonly bounds: QuotaBounds) {}

  /**
   * Finds out why a request must be refused. Undefined if it is within the quota.
   * @param situation - What this VM knows.
   * @param nowMs - Current time.
   */
  findShortage(situation: QuotaSituation, nowMs: number): QuotaShortage | undefined {
    const { usage, view } = situation;
    const bound = usage.computeBound();
    const room = bound * this.bounds.overshootShare + this.bounds.slack;
    const total = this.computeTotal(situation, bound, room);
    const known = usage.countKnown(nowMs);
    const unknown = Math.min(usage.countUnknown(view.heardAtMs, nowMs), usage.countOwn(nowMs));
    if (view.inContact === 1 && view.expected > 1) {
      return QuotaShare.checkIsolated(situation, { total, known, unknown });
    }
    const reached = total * (view.inContact / view.expected);
    const permitted = Math.max(1, Math.min(bound, reached));
    const reported = usage.countReported(nowMs);
    if (Math.max(known, reported) + 1 > permitted) return 'window';
    if (usage.computeLevel(nowMs) + 1 > Math.max(1, usage.quota.burst + room * SAVED_SHARE)) return 'rate';
    if (view.expected === 1) return undefined;
    // A VM that joined does not hear of all requests itself.
    const rest = (reached - Math.max(known - unknown, reported)) / 2;
    const interested = usage.countInterested();
    const units = QuotaShare.computeUnits(rest / view.sharing, situation.position)
      + (situation.interest === 'known' ? QuotaShare.computeUnits(rest / interested, situation.position) : 0);
    return unknown + 1 > units ? 'share' : undefined;
  }

  // Requests that all VMs may send in a window. What was sent before this process started is unknown if no other VM can tell; it leaves the
  // window at the rate at which it was sent.
  private computeTotal({ view, ageMs }: QuotaSituation, bound: number, room: number): number {
    const total = bound + room * DIVIDED_SHARE;
    if (ageMs >= this.bounds.windowMs || view.experience === 'whole-window') return total;
    return Math.min(total, room * START_SHARE + (bound * ageMs) / this.bounds.windowMs);
  }

  // A VM without contact to any other uses its part of what was left when it was last in contact. One that the directory does not return
  // has none: there may be hundreds of them.
  private static checkIsolated(
    { view, position, standing }: QuotaSituation,
    { total, known, unknown }: Readonly<Record<'total' | 'known' | 'unknown', number>>,
  ): QuotaShortage | undefined {
    if (standing === 'spare') return 'share';
    return unknown + 1 > QuotaShare.computeUnits((total - (known - unknown)) / view.expected, position) ? 'share' : undefined;
  }

  // Of a share with a fraction, as many VMs get one more as the fraction says, so that small quotas are not lost.
  private static computeUnits(share: number, position: number): number {
    const whole = Math.floor(share);
    return Math.max(0, whole + (position < share - whole ? 1 : 0));
  }
}
