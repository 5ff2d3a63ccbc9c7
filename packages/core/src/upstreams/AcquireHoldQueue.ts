import type * as upstreamMessage from './UpstreamMessage.js';

// Message that requests an instance for an attempt.
type Acquire = Extract<upstreamMessage.UpstreamMessage, { readonly type: 'acquire' }>;

interface HeldAcquire {
  readonly message: Acquire;
  readonly expiresAtMs: number;
}

// A slot of a preferred instance usually becomes free within one service time. Another instance may turn out to be full, which
// costs a round trip and a retry.
const HOLD_MS = 20;

/** First-in, first-out queue of `acquire` messages that wait a short time for a free slot of a preferred instance. */
export class AcquireHoldQueue {
  private held: HeldAcquire[] = [];

  /**
   * Holds an acquire unless the queue is full.
   * @param message - Acquire to hold.
   * @param limit - Maximum number of held acquires: as many as slots are expected to become free soon.
   * @param nowMs - Current time, in milliseconds.
   */
  add(message: Acquire, limit: number, nowMs: number): 'held' | 'full' {
    if (this.held.length >= limit) return 'full';
    this.held.push({ message, expiresAtMs: nowMs + HOLD_MS });
    return 'held';
  }

  /** Whether any acquire is held. */
  hasAny(): boolean {
    return this.held.length > 0;
  }

  /** Gets the acquire that has been held longest, or undefined if none is held. */
  getFirst(): Acquire | undefined {
    return this.held[0]?.message;
  }

  /** Removes the acquire that has been held longest. */
  removeFirst(): void {
    this.held.shift();
  }

  /**
   * Removes and returns the acquires whose hold time has passed.
   * @param nowMs - Current time, in milliseconds; Infinity removes all.
   */
  removeExpired(nowMs: number): readonly Acquire[] {
    const expired = this.held.filter((each) => each.expiresAtMs <= nowMs);
    this.held = this.held.filter((each) => each.expiresAtMs > nowMs);
    return expired.map((each) => each.message);
  }

  /**
   * Computes the time until the next hold expires, in milliseconds, or undefined if no acquire is held.
   * @param nowMs - Current time, in milliseconds.
   */
  computeDelayMs(nowMs: number): number | undefined {
    const first = this.held[0];
    return first === undefined ? undefined : Math.max(0, first.expiresAtMs - nowMs);
  }
}
