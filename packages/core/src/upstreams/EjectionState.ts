import * as slowStart from './SlowStart.js';

const EJECTION_COUNT_DECAY_MS = 60_000;

const TRIAL_MIN_MS = 10_000;

const TRIAL_MAX_MS = 80_000;

/**
 * Ejection state of one instance as decided by this VM, with a decaying count of ejections. An instance is in service at full weight, or
 * on trial (probation) with a reduced weight after an ejection; it gets attempts in both states.
 */
export class EjectionState {
  private state: 'in-service' | 'ejected' | 'trial' = 'in-service';

  // Number of recent ejections, each of which lengthens the next one; decremented after each decay period in service.
  private ejectionCount = 0;

  // Not set when a trial ends, so the decay period includes the trial.
  private changedAtMs = -Infinity;

  private ejectedUntilMs = -Infinity;

  /** Gets whether the instance is in service, ejected, or on trial after an ejection. */
  getState(): 'in-service' | 'ejected' | 'trial' {
    return this.state;
  }

  /** Gets the decayed number of ejections, including the current one; each lengthens the next ejection. */
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
   * Ends the ejection; the instance gets attempts again.
   * @param nowMs - Current time, in milliseconds.
   * @param state - `trial`: with a reduced weight at first; `in-service`: at full weight.
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
   * Ends a trial whose weight has reached 1. Decrements the count if the instance is in service and the decay period has passed since the
   * last reinstatement or decrement. A policy that doubles the duration per ejection thus halves the duration of the next ejection.
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
   * Computes the weight of the instance on trial: the trial share (minimum weight) in the first half, then a linear rise to 1. The
   * duration of the trial doubles with each ejection that still counts, up to a maximum.
   * @param nowMs - Current time, in milliseconds.
   */
  computeTrialWeight(nowMs: number): number {
    if (this.state !== 'trial') return 1;
    const trialMs = Math.min(TRIAL_MAX_MS, TRIAL_MIN_MS * 2 ** Math.max(0, this.ejectionCount - 1));
    return Math.min(1, Math.max(slowStart.TRIAL_SHARE, (2 * (nowMs - this.changedAtMs)) / trialMs - 1));
  }
}
