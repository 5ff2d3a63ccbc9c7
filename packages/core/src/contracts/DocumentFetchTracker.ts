import type * as documentOrder from './DocumentOrder.js';
import type * as documentReference from './DocumentReference.js';

const MAX_HOLDERS = 8;

// Long enough for a round trip on a slow link. With one request per second, a document took more than 5 s to spread at 20% loss.
const RETRY_MS = 500;

// By then several peers have not sent the text, and the VM watches the platform instead of waiting for its next poll.
const STALE_AFTER_MS = 3_000;

/** Tracks the newest document that peers have announced, and selects the peers from which its text is requested. */
export class DocumentFetchTracker {
  private newest: documentReference.DocumentReference | undefined;

  // Peers that announced the newest document, in the order in which its text is requested from them.
  private holders: string[] = [];

  private lastRequestMs = -Infinity;

  private announcedMs = Infinity;

  /** @param order - Order of document versions. */
  constructor(private readonly order: documentOrder.DocumentOrder) {}

  /** Gets the newest document that a peer announced. */
  getNewestAnnounced(): documentReference.DocumentReference | undefined {
    return this.newest;
  }

  /**
   * Records the document that a peer announced.
   * @param from - Name of the peer.
   * @param reference - Document that the peer holds.
   * @param nowMs - Current time in milliseconds.
   */
  recordAnnouncement(from: string, reference: documentReference.DocumentReference, nowMs: number): void {
    if (this.order.isNewer(reference, this.newest)) {
      this.newest = reference;
      this.holders = [from];
      this.lastRequestMs = -Infinity;
      this.announcedMs = nowMs;
      return;
    }
    if (reference.digest !== this.newest?.digest || reference.version !== this.newest.version) return;
    if (!this.holders.includes(from)) this.holders = [from, ...this.holders].slice(0, MAX_HOLDERS);
  }

  /**
   * Selects the peers to request the text from if a request is due: one peer first, then two for each retry, because messages
   * may have been lost.
   * @param held - Document that this VM holds.
   * @param nowMs - Current time in milliseconds.
   */
  selectRequestTargets(held: documentReference.DocumentReference | undefined, nowMs: number): readonly string[] {
    if (this.newest === undefined || !this.order.isNewer(this.newest, held) || nowMs - this.lastRequestMs < RETRY_MS) return [];
    const selected = this.holders.slice(0, this.lastRequestMs === -Infinity ? 1 : 2);
    this.holders = [...this.holders.slice(selected.length), ...selected];
    this.lastRequestMs = nowMs;
    return selected;
  }

  /**
   * Gets the time until the next request, or undefined if the VM holds the newest document.
   * @param held - Document that this VM holds.
   * @param nowMs - Current time in milliseconds.
   */
  getRetryDelayMs(held: documentReference.DocumentReference | undefined, nowMs: number): number | undefined {
    if (this.newest === undefined || !this.order.isNewer(this.newest, held)) return undefined;
    return Math.max(0, this.lastRequestMs + RETRY_MS - nowMs);
  }

  /**
   * Whether a newer document was announced several seconds ago and its text has not arrived.
   * @param held - Document that this VM holds.
   * @param nowMs - Current time in milliseconds.
   */
  isStale(held: documentReference.DocumentReference | undefined, nowMs: number): boolean {
    return this.newest !== undefined && this.order.isNewer(this.newest, held) && nowMs - this.announcedMs >= STALE_AFTER_MS;
  }
}
