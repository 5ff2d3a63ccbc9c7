import * as slowStart from './SlowStart.js';

const EJECTION_COUNT_DECAY_MS = 60_000;

const TRIAL_MIN_MS = 10_000;

const TRIAL_MAX_MS = 80_000;

/** Ejection of one instance by this VM: its current state and the number of ejections that still count. */
export class EjectionState {
  private state: 'in-service' | 'ejected' | 'trial' = 'in-service';

  // Ejections that lengthen the next one; reduced by 1 for each decay period without an ejection.
  private ejectionCount = 0;

  private changedAtMs = -Infinity;

  private ejectedUntilMs = -Infinity;

  /** Gets whether the instance is in service, ejected, or on trial after an ejection. */
  getState(): 'in-service' | 'ejected' | 'trial' {
    return this.state;
  }

  /** Gets the number of earlier ejections that still count and lengthen the next one. */
  getEjectionCount(): number {
    return this.ejectionCount;
  }

  /** Gets the time of the last ejection, reinstatement or decay of the count, in milliseconds. */
  getChangedAtMs(): number {
    return this.changedAtMs;
  }

  /**
   * Ejects the instance.
   * @param nowMs - Current time, in milliseconds.
   * @param durationMs - Duration of the ejection, in milliseconds.
   */
  eject(nowMs: number, durationMs: number): void {
    this.state = 'ejected';
    this.ejectionCount += 1;
    this.changedAtMs = nowMs;
    this.ejectedUntilMs = nowMs + durationMs;
  }

  /**
   * Returns the instance to rotation.
   * @param nowMs - Current time, in milliseconds.
   * @param state - Whether it returns on trial, with a reduced weight, or at its full weight.
   */
  reinstate(nowMs: number, state: 'trial' | 'in-service'): void {
    this.state = state;
    this.changedAtMs = nowMs;
  }

  /**
   * Checks whether the instance is ejected and the duration of the ejection has passed.
   * @param nowMs - Current time, in milliseconds.
   */
  isEjectionOver(nowMs: number): boolean {
    return this.state === 'ejected' && nowMs >= this.ejectedUntilMs;
  }

  /**
   * Ends a trial whose weight has reached 1, and reduces the count by 1 after each decay period without an ejection. With policies
   * that double the duration for each counted ejection, this halves the next one.
   * @param nowMs - Current time, in milliseconds.
   */
  update(nowMs: number): void {
    if (this.state === 'trial' && this.computeTrialWeight(nowMs) >= 1) this.state = 'in-service';
    if (this.state === 'in-service' && this.ejectionCount > 0 && nowMs - this.changedAtMs >= EJECTION_COUNT_DECAY_MS) {
      this.ejectionCount -= 1;
      this.changedAtMs = nowMs;
    }
  }

  /**
   * Computes the weight of the instance on trial: the trial share in the first half of the trial, then a linear rise to 1. The
   * duration of the trial doubles with each ejection that still counts, up to a maximum.
   * @param nowMs - Current time, in milliseconds.
   */
  computeTrialWeight(nowMs: number): number {
    if (this.state !== 'trial') return 1;
    const trialMs = Math.min(TRIAL_MAX_MS, TRIAL_MIN_MS * 2 ** Math.max(0, this.ejectionCount - 1));
    return Math.min(1, Math.max(slowStart.TRIAL_SHARE, (2 * (nowMs - this.changedAtMs)) / trialMs - 1));
  }
}
