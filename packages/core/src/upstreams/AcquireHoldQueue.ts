import type * as upstreamMessage from './UpstreamMessage.js';

type Acquire = Extract<upstreamMessage.UpstreamMessage, { readonly type: 'acquire' }>;

interface HeldAcquire {
  readonly message: Acquire;
  readonly expiresAtMs: number;
}

// A slot of a preferred instance frees within a service time as a rule; a full slot elsewhere costs a round trip and a retry.
const HOLD_MS = 20;

/** Acquires that wait a short time for a slot of a preferred instance, in the order of their arrival. */
export class AcquireHoldQueue {
  private held: HeldAcquire[] = [];

  /**
   * Holds an acquire unless as many are held as slots can free soon.
   * @param message - Acquire to hold.
   * @param limit - Greatest number of acquires to hold.
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

  /** Gets the acquire that is held longest, or undefined. */
  getFirst(): Acquire | undefined {
    return this.held[0]?.message;
  }

  /** Removes the acquire that is held longest. */
  removeFirst(): void {
    this.held.shift();
  }

  /**
   * Takes the acquires whose time is over.
   * @param nowMs - Current time, in milliseconds; Infinity takes all.
   */
  removeExpired(nowMs: number): readonly Acquire[] {
    const expired = this.held.filter((each) => each.expiresAtMs <= nowMs);
    this.held = this.held.filter((each) => each.expiresAtMs > nowMs);
    return expired.map((each) => each.message);
  }

  /**
   * Computes the time until the next acquire is due, in milliseconds, or undefined if none is held.
   * @param nowMs - Current time, in milliseconds.
   */
  computeDelayMs(nowMs: number): number | undefined {
    const first = this.held[0];
    return first === undefined ? undefined : Math.max(0, first.expiresAtMs - nowMs);
  }
}
