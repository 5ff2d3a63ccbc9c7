import type * as observationWindow from './ObservationWindow.js';
import type * as instance from './Instance.js';

// Bounds of the error rates that are assumed for a healthy instance and for one with a gray failure.
const HEALTHY_RATE_MIN = 0.01;

const GRAY_FAILURE_RATE_MIN = 0.2;

const GRAY_FAILURE_RATE_MAX = 0.95;

// Above this error rate the pool as a whole is degraded, so that failures do not indicate a fault of a single instance.
const DEGRADED_RATE = 0.3;

const ATTEMPTS_MIN = 1;

const LATENCIES_MIN = 2;

// An instance counts as slow if its mean latency exceeds that of the pool by this ratio and by the margin below.
const SLOW_RATIO = 2.5;

// Single answers are tested against an assumed slow instance with 3 times the latency of the pool; this is the log of the ratio.
const SLOW_LOG_RATIO = Math.log(3);

// Log likelihood ratio, for a slow instance against a normal one, from which a slow answer counts as a bad attempt.
const SLOW_ANSWER_LOG_RATIO = 3;

// The network distance between places causes smaller differences.
const SLOW_MARGIN_MS = 20;

// Number of standard errors by which the mean log latency of a slow instance must exceed that of the pool.
const SLOW_DEVIATIONS = 4;

// Minimum standard deviation of the log latency, so that small differences do not count as slow in a pool of nearly constant latency.
const DEVIATION_MIN = 0.25;

/**
 * Log likelihood ratios of the outcome of one attempt: positive if the outcome is more likely at an instance with a gray failure (an
 * instance that serves, but with errors or slowly) than at a healthy one.
 */
export interface LikelihoodRatios {
  /** `degraded`: the error rate of the pool as a whole is high. */
  readonly state: 'normal' | 'degraded';
  /** Log likelihood ratio of one bad attempt; positive. */
  readonly badLogRatio: number;
  /** Log likelihood ratio of one good attempt; negative. */
  readonly goodLogRatio: number;
}

// Computes the error rate of the instances without the worst third.
function computeTrimmedRate(counts: readonly observationWindow.DecayedCounts[]): number {
  const measured = counts.filter((count) => count.good + count.bad >= ATTEMPTS_MIN)
    .sort((left, right) => left.bad / (left.good + left.bad) - right.bad / (right.good + right.bad));
  const kept = measured.slice(0, measured.length - Math.ceil(measured.length / 3));
  const total = kept.reduce((sum, count) => sum + count.good + count.bad, 0);
  return total === 0 ? 0 : kept.reduce((sum, count) => sum + count.bad, 0) / total;
}

/**
 * Normal behaviour of the pool, the instances of one service, with which single instances are compared: the error rate without the
 * worst third of the instances, and the median latency.
 */
export class PoolBaseline {
  /**
   * Computes the log likelihood ratios from the error rate of the pool and an assumed error rate of an instance with a gray failure.
   * @param instances - All instances of the service.
   */
  computeLikelihoodRatios(instances: readonly instance.Instance[]): LikelihoodRatios {
    const rate = Math.max(
      computeTrimmedRate(instances.map((each) => each.observations.window)),
      computeTrimmedRate(instances.map((each) => each.observations.recent)),
    );
    const healthyRate = Math.max(HEALTHY_RATE_MIN, Math.min(DEGRADED_RATE, rate));
    // An instance with a gray failure is assumed to fail 3 times as often as a healthy one.
    const grayFailureRate = Math.max(GRAY_FAILURE_RATE_MIN, Math.min(GRAY_FAILURE_RATE_MAX, 3 * healthyRate));
    return {
      state: rate > DEGRADED_RATE ? 'degraded' : 'normal',
      badLogRatio: Math.log(grayFailureRate / healthyRate),
      goodLogRatio: Math.log((1 - grayFailureRate) / (1 - healthyRate)),
    };
  }

  /**
   * Sets for each instance the latency above which an on-time answer counts as bad. The threshold is lower for an instance whose mean
   * latency is significantly above that of the pool. Means are of the log latency, on which a mix of request kinds has little effect.
   * @param instances - All instances of the service.
   */
  updateSlowThresholds(instances: readonly instance.Instance[]): void {
    const measured = instances.filter((each) => each.observations.latency.count >= LATENCIES_MIN);
    const meanLogLatencies = measured.map(({ observations }) => observations.latency.sum / observations.latency.count)
      .sort((left, right) => left - right);
    const medianLogLatency = meanLogLatencies[Math.floor((meanLogLatencies.length - 1) / 2)];
    if (medianLogLatency === undefined || meanLogLatencies.length < 3) {
      instances.forEach((each) => each.observations.setSlowThresholdMs(Infinity));
      return;
    }
    const variances = measured.map(({ observations: { latency } }) => latency.squares / latency.count - (latency.sum / latency.count) ** 2)
      .sort((left, right) => left - right);
    const deviation = Math.max(DEVIATION_MIN, Math.sqrt(Math.max(0, variances[Math.floor(variances.length / 2)]!)));
    const medianLatencyMs = Math.exp(medianLogLatency);
    const slowThresholdMs = Math.max(medianLatencyMs * SLOW_RATIO, medianLatencyMs + SLOW_MARGIN_MS);
    // Threshold for the other instances: a single answer counts as bad if it is far more likely to come from the assumed slow instance.
    // The threshold rises with the deviation, so that hardly any answer exceeds it in a pool with a wide mix of request kinds.
    const answerLogRatio = (SLOW_ANSWER_LOG_RATIO * deviation ** 2) / SLOW_LOG_RATIO + SLOW_LOG_RATIO / 2;
    const defaultThresholdMs = Math.max(medianLatencyMs * Math.exp(answerLogRatio), slowThresholdMs);
    instances.forEach(({ observations }) => {
      const { count, sum } = observations.latency;
      const difference = count >= LATENCIES_MIN ? sum / count - medianLogLatency : 0;
      const isSlow = difference * Math.sqrt(count) >= SLOW_DEVIATIONS * deviation
        && medianLatencyMs * Math.exp(difference) >= slowThresholdMs;
      observations.setSlowThresholdMs(isSlow ? slowThresholdMs : defaultThresholdMs);
    });
  }
}
