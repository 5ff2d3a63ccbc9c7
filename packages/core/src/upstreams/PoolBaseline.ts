import type * as observationWindow from './ObservationWindow.js';
import type * as instance from './Instance.js';

const HEALTHY_RATE_MIN = 0.01;

const GRAY_FAILURE_RATE_MIN = 0.2;

const GRAY_FAILURE_RATE_MAX = 0.95;

// Above this rate the pool as a whole is in trouble, and no instance stands out.
const DEGRADED_RATE = 0.3;

const MINIMUM_ATTEMPTS = 1;

const MINIMUM_LATENCIES = 2;

const SLOW_RATIO = 2.5;

// Log of the ratio of a slow instance's latency to the pool's that single answers are tested for.
const SLOW_LOG_RATIO = Math.log(3);

// Log likelihood ratio from which a slow answer counts as a bad attempt.
const SLOW_ANSWER_LOG_RATIO = 3;

// Distance between places explains smaller differences.
const SLOW_MARGIN_MS = 20;

const SLOW_DEVIATIONS = 4;

// Keeps a pool of nearly constant latency from marking small differences.
const DEVIATION_MIN = 0.25;

/** Error rates that the evidence about one instance is compared with. */
export interface LikelihoodRatios {
  /** `degraded`: the pool as a whole serves badly. */
  readonly state: 'normal' | 'degraded';
  /** Log likelihood ratio of one bad attempt. */
  readonly badLogRatio: number;
  /** Log likelihood ratio of one good attempt, negative. */
  readonly goodLogRatio: number;
}

function computeTrimmedRate(counts: readonly observationWindow.DecayedCounts[]): number {
  const measured = counts.filter((count) => count.good + count.bad >= MINIMUM_ATTEMPTS)
    .sort((left, right) => left.bad / (left.good + left.bad) - right.bad / (right.good + right.bad));
  const kept = measured.slice(0, measured.length - Math.ceil(measured.length / 3));
  const total = kept.reduce((sum, count) => sum + count.good + count.bad, 0);
  return total === 0 ? 0 : kept.reduce((sum, count) => sum + count.bad, 0) / total;
}

/** What is ordinary in the pool: the rates and latencies of the instances without the worst third. */
export class PoolBaseline {
  /**
   * Computes the error rates of the pool.
   * @param instances - All instances of the service.
   */
  computeLikelihoodRatios(instances: readonly instance.Instance[]): LikelihoodRatios {
    const rate = Math.max(
      computeTrimmedRate(instances.map((each) => each.observations.window)),
      computeTrimmedRate(instances.map((each) => each.observations.recent)),
    );
    const healthyRate = Math.max(HEALTHY_RATE_MIN, Math.min(DEGRADED_RATE, rate));
    const grayFailureRate = Math.max(GRAY_FAILURE_RATE_MIN, Math.min(GRAY_FAILURE_RATE_MAX, 3 * healthyRate));
    return {
      state: rate > DEGRADED_RATE ? 'degraded' : 'normal',
      badLogRatio: Math.log(grayFailureRate / healthyRate),
      goodLogRatio: Math.log((1 - grayFailureRate) / (1 - healthyRate)),
    };
  }

  /**
   * Sets from which latency on an answer counts as bad. The limit is lower for an instance whose mean stands out from the pool; the mean
   * is that of the log latency, which differing kinds disturb little.
   * @param instances - All instances of the service.
   */
  updateSlowThresholds(instances: readonly instance.Instance[]): void {
    const measured = instances.filter((each) => each.observations.latency.count >= MINIMUM_LATENCIES);
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
    // A single answer stands out if it is far more likely from an instance slower by the ratio; with widely differing kinds, none is.
    const answerLogRatio = (SLOW_ANSWER_LOG_RATIO * deviation ** 2) / SLOW_LOG_RATIO + SLOW_LOG_RATIO / 2;
    const defaultThresholdMs = Math.max(medianLatencyMs * Math.exp(answerLogRatio), slowThresholdMs);
    instances.forEach(({ observations }) => {
      const { count, sum } = observations.latency;
      const difference = count >= MINIMUM_LATENCIES ? sum / count - medianLogLatency : 0;
      const isSlow = difference * Math.sqrt(count) >= SLOW_DEVIATIONS * deviation
        && medianLatencyMs * Math.exp(difference) >= slowThresholdMs;
      observations.setSlowThresholdMs(isSlow ? slowThresholdMs : defaultThresholdMs);
    });
  }
}
