const DECREASE_FACTOR = 0.7;

// Shed responses within this interval are caused by the same overload, so they decrease the limit only once.
const DECREASE_INTERVAL_MS = 100;

/** Adaptive limit on the attempts that this VM has in flight at one instance: additive increase, multiplicative decrease. */
export class ConcurrencyLimit {
  private limit: number;

  private lastDecreaseMs = -Infinity;

  /** @param slots - Requests that the instance serves concurrently; the limit never exceeds them. */
  constructor(private slots: number) {
    this.limit = slots;
  }

  /** Gets the number of attempts that may be in flight; at least 1, so that the limit can recover. */
  getLimit(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /**
   * Sets the slots of the instance after the contract changed. The limit restarts at the new number if that is greater.
   * @param slots - Slots of the instance.
   */
  setSlots(slots: number): void {
    this.limit = slots > this.slots ? slots : Math.min(this.limit, slots);
    this.slots = slots;
  }

  /** Increases the limit after a served attempt: by 1 in total after as many attempts as the limit allows at once. */
  recordServed(): void {
    this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
  }

  /**
   * Decreases the limit after the instance shed an attempt because of overload.
   * @param nowMs - Current time, in milliseconds.
   */
  recordShed(nowMs: number): void {
    if (nowMs - this.lastDecreaseMs < DECREASE_INTERVAL_MS) return;
    this.lastDecreaseMs = nowMs;
    this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
  }
}
