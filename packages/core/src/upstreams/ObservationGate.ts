/** Decides whether this VM may use its own observations. If its timers fire late, it may itself have caused the failures. */
export class ObservationGate {
  private health: 'good' | 'late' = 'good';

  /**
   * Records the health of this VM.
   * @param health - Whether timers of this VM fire late.
   */
  setLocalHealth(health: 'good' | 'late'): void {
    this.health = health;
  }

  /** Whether observations are recorded and reported, and instances may be ejected. */
  isOpen(): boolean {
    return this.health === 'good';
  }
}
