const DECREASE_FACTOR = 0.7;

// Sheds that arrive together report one overload, so they decrease the limit once.
const DECREASE_INTERVAL_MS = 100;

/** Adaptive number of attempts that one instance may serve for this VM at the same time. */
export class ConcurrencyLimit {
  private limit: number;

  private lastDecreaseMs = -Infinity;

  /** @param slots - Slots of the instance; the limit never exceeds them. */
  constructor(private slots: number) {
    this.limit = slots;
  }

  /** Gets the attempts that may be in flight; at least 1, so that the limit can recover. */
  getLimit(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /**
   * Changes the slots of the instance after a new contract.
   * @param slots - Slots of the instance.
   */
  setSlots(slots: number): void {
    this.limit = slots > this.slots ? slots : Math.min(this.limit, slots);
    this.slots = slots;
  }

  /** Increases the limit after a served attempt: by one for as many attempts as the limit. */
  recordServed(): void {
    this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
  }

  /**
   * Decreases the limit after a shed response.
   * @param nowMs - Current time, in milliseconds.
   */
  recordShed(nowMs: number): void {
    if (nowMs - this.lastDecreaseMs < DECREASE_INTERVAL_MS) return;
    this.lastDecreaseMs = nowMs;
    this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
  }
}
