import * as core from '@tamarackferry/core';

import type * as quotaUsage from './QuotaUsage.js';

// A VM that sent no notice for this time is out of contact: three notices in a row are lost or late.
const CONTACT_MS = 1_000;

// The lists are computed anew at this interval at the latest, so that the cost of a request does not grow with the number of VMs.
const REFRESH_MS = 25;

interface MemberRecord {
  heardAtMs: number;
  host: string;
  run: number;
  sequence: number;
  startedAtMs: number;
  standing: quotaUsage.QuotaNotice['standing'];
  inContact: number;
}

/** Whether a notice is to be used: the first one of a run of a process, a later one, or one that was overtaken. */
export type NoticeOrder = 'first' | 'next' | 'outdated';

/** What one VM knows of the VMs that may serve callers, this one included. */
export interface MemberView {
  /** VMs that may serve callers, in contact or not. */
  readonly expected: number;
  /** Those that this VM is in contact with, and itself. */
  readonly inContact: number;
  /** Greatest number of VMs that any of them is in contact with: VMs that joined do not hear each other. */
  readonly sharing: number;
  /** Time at which the VM in contact that was silent for longest was heard; without contact, the time of the last one. */
  readonly heardAtMs: number;
  /** Whether a VM in contact has counted for a whole window. */
  readonly experience: 'whole-window' | 'less';
  /** Whether a VM in contact may not hear all others. */
  readonly contacts: 'listed' | 'some-joined';
}

/** Keeps the VMs that may serve callers, since the quotas are divided among them. */
export class QuotaMembers {
  private readonly members = new Map<string, MemberRecord>();

  private view: MemberView | undefined;

  private viewedAtMs = -Infinity;

  // Share of the members that come before this one in the order of a tenant, by tenant; valid while the members stay the same.
  private readonly positions = new Map<string, number>();

  /**
   * @param vm - Name of this VM.
   * @param servingVms - VMs that serve callers in the usual state of the fleet.
   * @param callerSpanMs - Time for which callers may still use a VM that is not heard any more.
   * @param windowMs - Length of the window of the quotas.
   */
  constructor(
    private readonly vm: string,
    private readonly servingVms: number,
    private readonly callerSpanMs: number,
    private readonly windowMs: number,
  ) {}

  /**
   * Records a notice of another VM.
   * @param notice - Notice.
   * @param nowMs - Current time.
   */
  record(notice: quotaUsage.QuotaNotice, nowMs: number): NoticeOrder {
    const known = this.members.get(notice.from);
    const order = QuotaMembers.compareOrder(known, notice);
    if (order === 'outdated') return order;
    if (notice.standing === 'leaving') this.members.delete(notice.from);
    else {
      const {
        host, run, sequence, standing, inContact,
      } = notice;
      this.members.set(notice.from, {
        host, run, sequence, standing, inContact, heardAtMs: nowMs, startedAtMs: nowMs - notice.ageMs,
      });
    }
    if (known === undefined || notice.standing === 'leaving') this.positions.clear();
    this.view = undefined;
    return order;
  }

  /**
   * Lists the hosts of the VMs that are in contact.
   * @param nowMs - Current time.
   */
  listHosts(nowMs: number): string[] {
    return [...this.members.values()].filter(({ heardAtMs }) => nowMs - heardAtMs <= CONTACT_MS).map(({ host }) => host);
  }

  /**
   * Gets what this VM knows of the others.
   * @param nowMs - Current time.
   */
  getView(nowMs: number): MemberView {
    if (this.view === undefined || nowMs - this.viewedAtMs >= REFRESH_MS) {
      this.view = this.computeView(nowMs);
      this.viewedAtMs = nowMs;
    }
    return this.view;
  }

  /**
   * Computes the position of this VM among all members in the order of a tenant, from 0 to 1. All VMs compute the same order.
   * @param tenant - Name of the tenant.
   */
  computePosition(tenant: string): number {
    const known = this.positions.get(tenant);
    if (known !== undefined) return known;
    const own = core.places.RendezvousHash.computeScore(tenant, this.vm);
    const before = [...this.members.keys()].filter((name) => {
      const score = core.places.RendezvousHash.computeScore(tenant, name);
      return score > own || (score === own && name < this.vm);
    }).length;
    const position = before / Math.max(this.servingVms, this.members.size + 1);
    this.positions.set(tenant, position);
    return position;
  }

  private computeView(nowMs: number): MemberView {
    this.members.forEach(({ heardAtMs }, name) => {
      if (nowMs - heardAtMs <= this.callerSpanMs) return;
      this.members.delete(name);
      this.positions.clear();
    });
    const contacts = [...this.members.values()].filter(({ heardAtMs }) => nowMs - heardAtMs <= CONTACT_MS);
    return {
      expected: Math.max(this.servingVms, this.members.size + 1),
      inContact: contacts.length + 1,
      sharing: contacts.reduce((greatest, { inContact }) => Math.max(greatest, inContact), contacts.length + 1),
      heardAtMs: contacts.length > 0
        ? contacts.reduce((earliest, { heardAtMs }) => Math.min(earliest, heardAtMs), nowMs)
        : [...this.members.values()].reduce((latest, { heardAtMs }) => Math.max(latest, heardAtMs), -Infinity),
      experience: contacts.some(({ startedAtMs }) => nowMs - startedAtMs >= this.windowMs) ? 'whole-window' : 'less',
      contacts: contacts.some(({ standing }) => standing === 'joined') ? 'some-joined' : 'listed',
    };
  }

  private static compareOrder(known: MemberRecord | undefined, notice: quotaUsage.QuotaNotice): NoticeOrder {
    if (known?.run !== notice.run) return 'first';
    return notice.sequence > known.sequence ? 'next' : 'outdated';
  }
}
