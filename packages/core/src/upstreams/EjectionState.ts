import * as slowStart from './SlowStart.js';

const EJECTION_COUNT_DECAY_MS = 60_000;

const TRIAL_MIN_MS = 10_000;

const TRIAL_MAX_MS = 80_000;

/** Whether an instance is ejected by this VM, and how often it was. */
export class EjectionState {
  private state: 'in-service' | 'ejected' | 'trial' = 'in-service';

  // Ejections that still count for the time of the next one.
  private count = 0;

  private changedAtMs = -Infinity;

  private untilMs = -Infinity;

  /** Gets whether the instance is in service, ejected, or returned on trial. */
  getState(): 'in-service' | 'ejected' | 'trial' {
    return this.state;
  }

  /** Gets the number of earlier ejections that lengthen the next one. */
  getEjectionCount(): number {
    return this.count;
  }

  /** Gets the time of the last ejection or return, in milliseconds. */
  getChangedAtMs(): number {
    return this.changedAtMs;
  }

  /**
   * Ejects the instance.
   * @param nowMs - Current time, in milliseconds.
   * @param durationMs - Time until it returns, in milliseconds.
   */
  eject(nowMs: number, durationMs: number): void {
    this.state = 'ejected';
    this.count += 1;
    this.changedAtMs = nowMs;
    this.untilMs = nowMs + durationMs;
  }

  /**
   * Returns the instance to rotation.
   * @param nowMs - Current time, in milliseconds.
   * @param state - Whether it returns on trial or at its full weight.
   */
  reinstate(nowMs: number, state: 'trial' | 'in-service'): void {
    this.state = state;
    this.changedAtMs = nowMs;
  }

  /**
   * Checks whether the ejection time is over.
   * @param nowMs - Current time, in milliseconds.
   */
  isEjectionOver(nowMs: number): boolean {
    return this.state === 'ejected' && nowMs >= this.untilMs;
  }

  /**
   * Ends a trial that is over and halves the next ejection time after each quiet period.
   * @param nowMs - Current time, in milliseconds.
   */
  expire(nowMs: number): void {
    if (this.state === 'trial' && this.computeTrialWeight(nowMs) >= 1) this.state = 'in-service';
    if (this.state === 'in-service' && this.count > 0 && nowMs - this.changedAtMs >= EJECTION_COUNT_DECAY_MS) {
      this.count -= 1;
      this.changedAtMs = nowMs;
    }
  }

  /**
   * Computes the weight on trial: the trial share for the first half of the trial, then a rise to 1. Later trials are longer.
   * @param nowMs - Current time, in milliseconds.
   */
  computeTrialWeight(nowMs: number): number {
    if (this.state !== 'trial') return 1;
    const trialMs = Math.min(TRIAL_MAX_MS, TRIAL_MIN_MS * 2 ** Math.max(0, this.count - 1));
    return Math.min(1, Math.max(slowStart.TRIAL_SHARE, (2 * (nowMs - this.changedAtMs)) / trialMs - 1));
  }
}
