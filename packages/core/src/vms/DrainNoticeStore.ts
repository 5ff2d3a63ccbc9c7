import type * as upstreams from '../upstreams/index.js';

const RECENT_NOTICE_MAX_AGE_MS = 60_000;
const MAX_RECENT_NOTICES = 6;

// Higher than in other exchanges, because a starting VM has not received any notices yet.
const MAX_NOTICES_TO_STARTING_VM = 64;

const MAX_STORED_NOTICES = 2_000;

interface StoredNotice {
  readonly notice: upstreams.DrainNotice;
  readonly receivedMs: number;
}

/**
 * Stores the drain notices that this VM has received, up to a maximum number; the oldest ones are removed. A notice states that one
 * incarnation (one run) of an upstream instance takes no new requests. After a restart the instance is not draining, so the key
 * includes the incarnation.
 */
export class DrainNoticeStore {
  // Insertion order is the order in which the notices were received.
  private readonly stored = new Map<string, StoredNotice>();

  private olderCursor = 0;

  /**
   * Adds notices.
   * @param notices - Notices from an upstream or a peer.
   * @param nowMs - Current time in milliseconds.
   * @returns The notices that were not stored before.
   */
  addNotices(notices: readonly upstreams.DrainNotice[], nowMs: number): upstreams.DrainNotice[] {
    const added = notices.filter((notice) => {
      const key = `${notice.service}/${notice.instance}/${notice.incarnation}`;
      if (this.stored.has(key)) return false;
      this.stored.set(key, { notice, receivedMs: nowMs });
      return true;
    });
    [...this.stored.keys()].slice(0, Math.max(0, this.stored.size - MAX_STORED_NOTICES)).forEach((key) => this.stored.delete(key));
    return added;
  }

  /**
   * Selects the notices for one exchange. A starting receiver gets the newest notices; any other receiver gets those received
   * recently, plus one older notice in round-robin order.
   * @param nowMs - Current time in milliseconds.
   * @param receiver - State that the receiver reported last, as far as it matters.
   */
  selectNotices(nowMs: number, receiver: 'starting' | 'other'): upstreams.DrainNotice[] {
    if (this.stored.size === 0) return [];
    const newestFirst = [...this.stored.values()].reverse();
    if (receiver === 'starting') return newestFirst.slice(0, MAX_NOTICES_TO_STARTING_VM).map((stored) => stored.notice);
    const recent = newestFirst.slice(0, MAX_RECENT_NOTICES).filter((stored) => nowMs - stored.receivedMs < RECENT_NOTICE_MAX_AGE_MS);
    const older = newestFirst.slice(recent.length);
    this.olderCursor += 1;
    return [...recent, ...older.slice(this.olderCursor % Math.max(1, older.length)).slice(0, 1)].map((stored) => stored.notice);
  }
}
