// Prior log odds that an instance without observations has a gray failure: a probability of about one in eight.
const PRIOR_LOG_ODDS = -2;

// Gray failures last about ten seconds. Without new observations the estimate decays to the prior with this time constant.
const DECAY_MS = 10_000;

const MIN_LOG_ODDS = -4;
const MAX_LOG_ODDS = 5;

// The log likelihood ratios below compare an instance that has a gray failure with a healthy one. The former answers about one request in
// four, the latter nearly all.
const GRAY_ANSWER_SHARE = 0.25;
const SUCCESS_LOG_RATIO = -1.6;

// About one request in a hundred fails at a healthy instance, and about one in two at an instance that fails part of its requests.
const FAILURE_LOG_RATIO = 2.2;

// Weight of the lateness of a success: one that takes longer than nearly all others is evidence of a gray failure.
const LATE_SUCCESS_WEIGHT = 0.8;

// Limit for a single request without a response, so that it does not exclude an instance that answers other requests.
const MAX_NO_RESPONSE_LOG_RATIO = 3.5;

// Limits for the deviation that one other VM and all of them together contribute. One VM alone cannot exclude an instance, since its own
// network links may be faulty.
const MAX_PEER_DEVIATION = 2.2;
const MAX_TOTAL_PEER_DEVIATION = 3.5;
const MIN_PEER_DEVIATION = -1;

// Share of the requests that fail at an instance with a gray failure and at a healthy one.
const GRAY_FAILURE_SHARE = 0.7;
const HEALTHY_FAILURE_SHARE = 0.012;

interface PeerEvidence {
  readonly deviation: number;
  readonly atMs: number;
}

/**
 * Estimates the probability that an instance has a gray failure, in which it accepts requests but leaves most of them unanswered. The
 * estimate consists of Bayesian updates that decay over time.
 */
export class GrayFailureEstimator {
  private logOdds = PRIOR_LOG_ODDS;

  private decayedAtMs: number;

  private readonly peers = new Map<string, PeerEvidence>();

  /** @param nowMs - Current time. */
  constructor(nowMs: number) {
    this.decayedAtMs = nowMs;
  }

  /**
   * Computes the log likelihood ratio of a gray failure for a request that has no response yet.
   * @param survival - Share of the answers that take longer than the request has been in flight.
   */
  static computeNoResponseLogRatio(survival: number): number {
    const noResponseIfGray = 1 - GRAY_ANSWER_SHARE + GRAY_ANSWER_SHARE * survival;
    return Math.min(MAX_NO_RESPONSE_LOG_RATIO, Math.log(noResponseIfGray / Math.max(1e-3, survival)));
  }

  /**
   * Records a successful answer.
   * @param survival - Share of the answers that take longer than this one took.
   * @param nowMs - Current time.
   */
  recordSuccess(survival: number, nowMs: number): void {
    this.addLogRatio(SUCCESS_LOG_RATIO + LATE_SUCCESS_WEIGHT * GrayFailureEstimator.computeNoResponseLogRatio(survival), nowMs);
  }

  /**
   * Records a failure of the instance or of the connection to it.
   * @param nowMs - Current time.
   */
  recordFailure(nowMs: number): void {
    this.addLogRatio(FAILURE_LOG_RATIO, nowMs);
  }

  /**
   * Records a request that was cancelled before a response was received.
   * @param survival - Share of the answers that take longer than the request was in flight.
   * @param nowMs - Current time.
   */
  recordNoResponse(survival: number, nowMs: number): void {
    this.addLogRatio(Math.max(0, GrayFailureEstimator.computeNoResponseLogRatio(survival)), nowMs);
  }

  /**
   * Records the evidence of another VM, in place of earlier evidence of that VM.
   * @param peer - Name of the other VM.
   * @param deviation - Its log odds of a gray failure minus the prior log odds, from its own requests only.
   * @param nowMs - Current time.
   */
  recordPeerEvidence(peer: string, deviation: number, nowMs: number): void {
    this.peers.set(peer, { deviation: Math.max(MIN_PEER_DEVIATION, Math.min(MAX_PEER_DEVIATION, deviation)), atMs: nowMs });
  }

  /**
   * Computes the log odds of a gray failure minus the prior log odds, from the requests of this VM only.
   * @param noResponseLogRatio - Sum of the log likelihood ratios of the requests in flight, which have no response yet.
   * @param nowMs - Current time.
   */
  computeDeviation(noResponseLogRatio: number, nowMs: number): number {
    this.applyDecay(nowMs);
    return Math.min(MAX_LOG_ODDS, this.logOdds + noResponseLogRatio) - PRIOR_LOG_ODDS;
  }

  /**
   * Estimates the probability that a request sent now gets no successful answer.
   * @param noResponseLogRatio - Sum of the log likelihood ratios of the requests in flight, which have no response yet.
   * @param nowMs - Current time.
   */
  estimateFailureProbability(noResponseLogRatio: number, nowMs: number): number {
    const logOdds = PRIOR_LOG_ODDS + this.computeDeviation(noResponseLogRatio, nowMs) + this.sumPeerDeviations(nowMs);
    const grayProbability = 1 / (1 + Math.exp(-logOdds));
    return grayProbability * GRAY_FAILURE_SHARE + (1 - grayProbability) * HEALTHY_FAILURE_SHARE;
  }

  private sumPeerDeviations(nowMs: number): number {
    let sum = 0;
    this.peers.forEach((evidence, peer) => {
      const ageMs = nowMs - evidence.atMs;
      if (ageMs > 2 * DECAY_MS) this.peers.delete(peer);
      sum += evidence.deviation * Math.exp(-ageMs / DECAY_MS);
    });
    return Math.max(MIN_PEER_DEVIATION, Math.min(MAX_TOTAL_PEER_DEVIATION, sum));
  }

  private addLogRatio(logRatio: number, nowMs: number): void {
    this.applyDecay(nowMs);
    this.logOdds = Math.max(MIN_LOG_ODDS, Math.min(MAX_LOG_ODDS, this.logOdds + logRatio));
  }

  private applyDecay(nowMs: number): void {
    const remainingShare = Math.exp((this.decayedAtMs - nowMs) / DECAY_MS);
    this.logOdds = PRIOR_LOG_ODDS + (this.logOdds - PRIOR_LOG_ODDS) * remainingShare;
    this.decayedAtMs = nowMs;
  }
}
