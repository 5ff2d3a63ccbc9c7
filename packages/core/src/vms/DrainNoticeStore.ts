import type * as upstreams from '../upstreams/index.js';

const RECENT_MS = 60_000;
const RECENT_LIMIT = 6;

// A VM that starts has missed all notices, so its answer carries many.
const STARTING_RECEIVER_LIMIT = 64;

const STORE_LIMIT = 2_000;

interface StoredNotice {
  readonly notice: upstreams.DrainNotice;
  readonly receivedMs: number;
}

/** Keeps the drain notices that this VM has learned, by service, instance and incarnation. */
export class DrainNoticeStore {
  // In the order in which the notices were learned.
  private readonly stored = new Map<string, StoredNotice>();

  private olderCursor = 0;

  /**
   * Adds notices.
   * @param notices - Notices from an upstream or a peer.
   * @param nowMs - Present time in milliseconds.
   * @returns Those that were not known before.
   */
  addNotices(notices: readonly upstreams.DrainNotice[], nowMs: number): upstreams.DrainNotice[] {
    const added = notices.filter((notice) => {
      const key = `${notice.service}/${notice.instance}/${notice.incarnation}`;
      if (this.stored.has(key)) return false;
      this.stored.set(key, { notice, receivedMs: nowMs });
      return true;
    });
    [...this.stored.keys()].slice(0, Math.max(0, this.stored.size - STORE_LIMIT)).forEach((key) => this.stored.delete(key));
    return added;
  }

  /**
   * Selects the notices for one exchange: the newest ones, and one older one in turn.
   * @param nowMs - Present time in milliseconds.
   * @param receiver - State of the receiver as far as it is known.
   */
  selectNotices(nowMs: number, receiver: 'starting' | 'other'): upstreams.DrainNotice[] {
    if (this.stored.size === 0) return [];
    const newestFirst = [...this.stored.values()].reverse();
    if (receiver === 'starting') return newestFirst.slice(0, STARTING_RECEIVER_LIMIT).map((stored) => stored.notice);
    const recent = newestFirst.slice(0, RECENT_LIMIT).filter((stored) => nowMs - stored.receivedMs < RECENT_MS);
    const older = newestFirst.slice(recent.length);
    this.olderCursor += 1;
    return [...recent, ...older.slice(this.olderCursor % Math.max(1, older.length)).slice(0, 1)].map((stored) => stored.notice);
  }
}
