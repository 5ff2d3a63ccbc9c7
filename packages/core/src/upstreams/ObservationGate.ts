/** Decides whether this VM may trust its own observations. */
export class ObservationGate {
  private health: 'good' | 'late' = 'good';

  /**
   * Records the health of this VM.
   * @param health - Whether timers of this VM fire late.
   */
  setLocalHealth(health: 'good' | 'late'): void {
    this.health = health;
  }

  /** Whether evidence is gathered and ejections are made. */
  isOpen(): boolean {
    return this.health === 'good';
  }
}
