import type * as upstreams from '../upstreams/index.js';

const RECENT_MS = 60_000;
const RECENT_LIMIT = 6;

// A VM that starts has missed all notices, so its answer carries many.
const STARTING_LIMIT = 64;

const KEPT_LIMIT = 2_000;

interface KeptNotice {
  readonly notice: upstreams.DrainNotice;
  readonly learnedMs: number;
}

/** Keeps the drain notices that this VM has learned, by service, instance and incarnation. */
export class DrainNoticeStore {
  // In the order in which the notices were learned.
  private readonly kept = new Map<string, KeptNotice>();

  private nextOlder = 0;

  /**
   * Adds notices.
   * @param notices - Notices from an upstream or a peer.
   * @param nowMs - Present time in milliseconds.
   * @returns Those that were not known before.
   */
  addNotices(notices: readonly upstreams.DrainNotice[], nowMs: number): upstreams.DrainNotice[] {
    const fresh = notices.filter((notice) => {
      const key = `${notice.service}/${notice.instance}/${notice.incarnation}`;
      if (this.kept.has(key)) return false;
      this.kept.set(key, { notice, learnedMs: nowMs });
      return true;
    });
    [...this.kept.keys()].slice(0, Math.max(0, this.kept.size - KEPT_LIMIT)).forEach((key) => this.kept.delete(key));
    return fresh;
  }

  /**
   * Selects the notices for one exchange: the newest ones, and one older one in turn.
   * @param nowMs - Present time in milliseconds.
   * @param receiver - State of the receiver as far as it is known.
   */
  selectNotices(nowMs: number, receiver: 'starting' | 'other'): upstreams.DrainNotice[] {
    if (this.kept.size === 0) return [];
    const newestFirst = [...this.kept.values()].reverse();
    if (receiver === 'starting') return newestFirst.slice(0, STARTING_LIMIT).map((kept) => kept.notice);
    const recent = newestFirst.slice(0, RECENT_LIMIT).filter((kept) => nowMs - kept.learnedMs < RECENT_MS);
    const older = newestFirst.slice(recent.length);
    this.nextOlder += 1;
    return [...recent, ...older.slice(this.nextOlder % Math.max(1, older.length)).slice(0, 1)].map((kept) => kept.notice);
  }
}
