import type * as observation from './Observation.js';
import type * as poolBaseline from './PoolBaseline.js';

const WINDOW_HALF_LIFE_MS = 3_000;

// An instance on trial gets few attempts, so those of the whole trial are needed to distinguish a low error rate from none.
const TRIAL_HALF_LIFE_MS = 30_000;

// An instance that appears slow gets few attempts, so its latencies are kept for longer.
const LATENCY_HALF_LIFE_MS = 10_000;

const RECENT_HALF_LIFE_MS = 750;

// An instance with few attempts must not stay suspected because of old observations.
const SCORE_HALF_LIFE_MS = 20_000;

const DEGRADED_SCORE_HALF_LIFE_MS = 1_000;

// Healthy instances hardly ever send corrupt answers, so one counts as several failures.
const CORRUPT_WEIGHT = 2;

const SCORE_MAX = 15;

/** Counts of good and bad attempts with exponential decay. */
export interface DecayedCounts {
  good: number;
  bad: number;
}

/**
 * Observations of this VM about one instance: decayed counts, log latencies, and the failure score, a cumulative sum of log likelihood
 * ratios. New observations are pending until the next evaluation, when they can be compared with all instances in the same period.
 */
export class ObservationWindow {
  /** Counts with a half-life of seconds, or of tens of seconds while the instance is on trial after an ejection. */
  readonly window: DecayedCounts = { good: 0, bad: 0 };

  /** Counts with a half-life below one second. */
  readonly recent: DecayedCounts = { good: 0, bad: 0 };

  /** Decayed count, sum and sum of squares of log latencies. */
  readonly latency = { count: 0, sum: 0, squares: 0 };

  // Observations since the last evaluation. `silent` counts attempts that timed out without an answer.
  private readonly pending = {
    good: 0, bad: 0, silent: 0, latencies: 0, sum: 0, squares: 0,
  };

  private timeouts = 0;

  private failureScore = 0;

  private consecutiveFailures = 0;

  // Answers slower than this count as bad although they were on time.
  private slowThresholdMs = Infinity;

  /** Gets the failure score; 0 if the observations do not indicate a failure. */
  getFailureScore(): number {
    return this.failureScore;
  }

  /** Gets the number of bad attempts since the last good one. */
  getConsecutiveFailures(): number {
    return this.consecutiveFailures;
  }

  /** Gets the share of bad attempts that timed out, between 0 and 1. */
  getTimeoutShare(): number {
    return this.window.bad === 0 ? 0 : this.timeouts / this.window.bad;
  }

  /**
   * Sets the latency above which answers count as bad although they were on time.
   * @param thresholdMs - Latency, in milliseconds; Infinity if there are too few instances to compare with.
   */
  setSlowThresholdMs(thresholdMs: number): void {
    this.slowThresholdMs = thresholdMs;
  }

  /**
   * Records the outcome of an attempt.
   * @param observed - Outcome of the attempt.
   * @param latencyMs - Duration of the attempt, in milliseconds.
   */
  record(observed: observation.Observation, latencyMs: number): void {
    const { pending } = this;
    if (observed === 'on-time' || observed === 'late') {
      const logLatency = Math.log(Math.max(0.1, latencyMs));
      pending.latencies += 1;
      pending.sum += logLatency;
      pending.squares += logLatency * logLatency;
    }
    switch (observed) {
      case 'on-time':
        if (latencyMs > this.slowThresholdMs) this.recordBad(1);
        else this.recordGood();
        break;
      case 'timed-out':
        pending.silent += 1;
        this.recordBad(1);
        break;
      case 'late':
      case 'failed':
      case 'refused':
        this.recordBad(1);
        break;
      case 'corrupt':
        this.recordBad(CORRUPT_WEIGHT);
        break;
      default:
        break;
    }
  }

  /** Removes the observations since the last evaluation. Used after a pause of this VM, which may have caused the failures. */
  removePending(): void {
    this.clearPending();
    this.consecutiveFailures = 0;
  }

  /**
   * Decays the counts and adds the pending observations to them.
   * @param elapsedMs - Time since the last evaluation, in milliseconds.
   * @param ejection - Ejection state of the instance; the counts decay more slowly on trial.
   */
  updateCounts(elapsedMs: number, ejection: 'in-service' | 'ejected' | 'trial'): void {
    const { pending } = this;
    const keep = 0.5 ** (elapsedMs / (ejection === 'trial' ? TRIAL_HALF_LIFE_MS : WINDOW_HALF_LIFE_MS));
    const keepLatency = 0.5 ** (elapsedMs / LATENCY_HALF_LIFE_MS);
    const keepRecent = 0.5 ** (elapsedMs / RECENT_HALF_LIFE_MS);
    this.window.good = this.window.good * keep + pending.good;
    this.window.bad = this.window.bad * keep + pending.bad;
    this.recent.good = this.recent.good * keepRecent + pending.good;
    this.recent.bad = this.recent.bad * keepRecent + pending.bad;
    this.timeouts = this.timeouts * keep + pending.silent;
    this.latency.count = this.latency.count * keepLatency + pending.latencies;
    this.latency.sum = this.latency.sum * keepLatency + pending.sum;
    this.latency.squares = this.latency.squares * keepLatency + pending.squares;
  }

  /**
   * Decays the failure score, adds the pending observations to it and clears them. To be called after `updateCounts` was called for
   * all instances. While the pool is degraded, the score only decays.
   * @param ratios - Log likelihood ratios from the error rates of the pool in the same period.
   * @param elapsedMs - Time since the last evaluation, in milliseconds.
   */
  updateFailureScore(ratios: poolBaseline.LikelihoodRatios, elapsedMs: number): void {
    const degraded = ratios.state === 'degraded';
    const keep = 0.5 ** (elapsedMs / (degraded ? DEGRADED_SCORE_HALF_LIFE_MS : SCORE_HALF_LIFE_MS));
    const change = degraded ? 0 : this.pending.bad * ratios.badLogRatio + this.pending.good * ratios.goodLogRatio;
    this.failureScore = Math.min(SCORE_MAX, Math.max(0, this.failureScore * keep + change));
    this.clearPending();
  }

  /**
   * Clears all observations of an instance that returns to rotation.
   * @param failureScore - Failure score that it begins with.
   */
  reset(failureScore: number): void {
    this.removePending();
    Object.assign(this.window, { good: 0, bad: 0 });
    Object.assign(this.recent, { good: 0, bad: 0 });
    Object.assign(this.latency, { count: 0, sum: 0, squares: 0 });
    this.timeouts = 0;
    this.failureScore = Math.min(SCORE_MAX, failureScore);
  }

  private recordGood(): void {
    this.pending.good += 1;
    this.consecutiveFailures = 0;
  }

  private recordBad(weight: number): void {
    this.pending.bad += weight;
    this.consecutiveFailures += 1;
  }

  private clearPending(): void {
    Object.assign(this.pending, {
      good: 0, bad: 0, silent: 0, latencies: 0, sum: 0, squares: 0,
    });
  }
}
