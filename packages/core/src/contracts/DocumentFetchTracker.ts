import type * as documentOrder from './DocumentOrder.js';
import type * as documentReference from './DocumentReference.js';

const HOLDER_LIMIT = 8;

// Long enough for a round trip on a slow link; with one try a second, a document needed more than 5 s at 20% loss.
const RETRY_MS = 500;

// Several peers have failed to hand over the text by then, and the platform is asked at once instead of at the next poll.
const STALE_AFTER_MS = 3_000;

/** Tracks the newest document that peers name and from which of them its text is requested. */
export class DocumentFetchTracker {
  private newest: documentReference.DocumentReference | undefined;

  // Peers that named the newest document, in the order in which they are asked.
  private holders: string[] = [];

  private lastRequestMs = -Infinity;

  private announcedMs = Infinity;

  /** @param order - Order of documents. */
  constructor(private readonly order: documentOrder.DocumentOrder) {}

  /** Gets the newest document that a peer named. */
  getNewestAnnounced(): documentReference.DocumentReference | undefined {
    return this.newest;
  }

  /**
   * Records the document that a peer named.
   * @param from - Name of the peer.
   * @param reference - Document that it holds.
   * @param nowMs - Present time in milliseconds.
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
    if (!this.holders.includes(from)) this.holders = [from, ...this.holders].slice(0, HOLDER_LIMIT);
  }

  /**
   * Takes the peers to request the text from, if a request is due: one at first, then two, since messages are being lost.
   * @param held - Document that this VM holds.
   * @param nowMs - Present time in milliseconds.
   */
  takeRequestTargets(held: documentReference.DocumentReference | undefined, nowMs: number): readonly string[] {
    if (this.newest === undefined || !this.order.isNewer(this.newest, held) || nowMs - this.lastRequestMs < RETRY_MS) return [];
    const selected = this.holders.slice(0, this.lastRequestMs === -Infinity ? 1 : 2);
    this.holders = [...this.holders.slice(selected.length), ...selected];
    this.lastRequestMs = nowMs;
    return selected;
  }

  /**
   * Gets the time until the next request, or undefined if the VM is not behind.
   * @param held - Document that this VM holds.
   * @param nowMs - Present time in milliseconds.
   */
  getRetryDelayMs(held: documentReference.DocumentReference | undefined, nowMs: number): number | undefined {
    if (this.newest === undefined || !this.order.isNewer(this.newest, held)) return undefined;
    return Math.max(0, this.lastRequestMs + RETRY_MS - nowMs);
  }

  /**
   * Whether peers have named a newer document for a while without handing it over.
   * @param held - Document that this VM holds.
   * @param nowMs - Present time in milliseconds.
   */
  isStale(held: documentReference.DocumentReference | undefined, nowMs: number): boolean {
    return this.newest !== undefined && this.order.isNewer(this.newest, held) && nowMs - this.announcedMs >= STALE_AFTER_MS;
  }
}
