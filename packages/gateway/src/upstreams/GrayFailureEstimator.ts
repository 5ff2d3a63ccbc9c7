// Prior log odds that an instance without observations has a gray failure: a probability of about one in eight.
const PRIOR_LOG_ODDS = -2;
const PRIOR_PROBABILITY = 1 / (1 + Math.exp(-PRIOR_LOG_ODDS));

// Gray failures last several seconds. After this time without further evidence, the probability returns to the prior with the time constant
// below, so that an instance that has recovered is used again.
const FAILURE_SPAN_MS = 5_000;
const FAILURE_DECAY_MS = 2_000;

// A gray failure can begin at any time, so successes lose their weight with this time constant.
const SUCCESS_DECAY_MS = 10_000;

// Evidence of another VM that was not repeated loses its weight with this time constant.
const PEER_DECAY_MS = 4_000;

const MIN_LOG_ODDS = -4;
const MAX_LOG_ODDS = 5;

// The log likelihood ratios below compare an instance that has a gray failure with a healthy one. The former answers about one request in
// four, the latter nearly all.
const GRAY_ANSWER_SHARE = 0.25;
const SUCCESS_LOG_RATIO = -1.6;

// About one request in a hundred gets a server error at a healthy instance, and more than one in two at an instance that fails part of its
// requests. A broken connection says less, since the fault may be on the path from this VM.
const SERVER_ERROR_LOG_RATIO = 3.5;
const BROKEN_CONNECTION_LOG_RATIO = 2.2;

// Increase of the deviation that a VM reports which counts as new evidence rather than as a repeated report.
const MIN_NEW_EVIDENCE = 0.5;

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

  // Time until which a gray failure is assumed to last, from the latest evidence of one.
  private failureEndsAtMs = -Infinity;

  private latestSuccessAtMs = -Infinity;

  // Time of the latest evidence of a failure, from this VM or another one.
  private latestFailureAtMs = -Infinity;

  // Time of the latest new evidence of a gray failure from another VM.
  private latestSuspicionAtMs = -Infinity;

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
    this.latestSuccessAtMs = nowMs;
    this.addLogRatio(SUCCESS_LOG_RATIO + LATE_SUCCESS_WEIGHT * GrayFailureEstimator.computeNoResponseLogRatio(survival), nowMs);
  }

  /**
   * Records a failure.
   * @param failure - `server-error`: answer of the instance with an error; `broken-connection`: no complete answer.
   * @param nowMs - Current time.
   */
  recordFailure(failure: 'server-error' | 'broken-connection', nowMs: number): void {
    this.addLogRatio(failure === 'server-error' ? SERVER_ERROR_LOG_RATIO : BROKEN_CONNECTION_LOG_RATIO, nowMs);
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
    const previous = this.peers.get(peer);
    const bounded = Math.max(MIN_PEER_DEVIATION, Math.min(MAX_PEER_DEVIATION, deviation));
    if (bounded - Math.max(0, previous?.deviation ?? 0) >= MIN_NEW_EVIDENCE) {
      this.latestSuspicionAtMs = nowMs;
      this.latestFailureAtMs = nowMs;
    }
    this.peers.set(peer, { deviation: bounded, atMs: nowMs });
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
    const own = this.computeDeviation(noResponseLogRatio, nowMs);
    const peers = this.sumPeerDeviations(nowMs);
    // A gray failure begins suddenly, so a success before another VM found one says nothing about the time since. Without this, each VM
    // would lose a request of its own before it believes the others.
    const current = peers > 0 && this.latestSuspicionAtMs >= this.latestSuccessAtMs ? Math.max(0, own) : own;
    const logOdds = PRIOR_LOG_ODDS + current + peers;
    const grayProbability = 1 / (1 + Math.exp(-logOdds));
    return grayProbability * GRAY_FAILURE_SHARE + (1 - grayProbability) * HEALTHY_FAILURE_SHARE;
  }

  /**
   * Computes the time since the latest evidence of a failure, from this VM or another one, in milliseconds.
   * @param nowMs - Current time.
   */
  computeFailureAgeMs(nowMs: number): number {
    return nowMs - this.latestFailureAtMs;
  }

  private sumPeerDeviations(nowMs: number): number {
    let sum = 0;
    this.peers.forEach((evidence, peer) => {
      const ageMs = nowMs - evidence.atMs;
      if (ageMs > 2 * PEER_DECAY_MS) this.peers.delete(peer);
      sum += evidence.deviation * Math.exp(-ageMs / PEER_DECAY_MS);
    });
    return Math.max(MIN_PEER_DEVIATION, Math.min(MAX_TOTAL_PEER_DEVIATION, sum));
  }

  private addLogRatio(logRatio: number, nowMs: number): void {
    this.applyDecay(nowMs);
    if (logRatio > 0) {
      this.failureEndsAtMs = nowMs + FAILURE_SPAN_MS;
      this.latestFailureAtMs = nowMs;
    }
    this.logOdds = Math.max(MIN_LOG_ODDS, Math.min(MAX_LOG_ODDS, this.logOdds + logRatio));
  }

  private applyDecay(nowMs: number): void {
    if (this.logOdds <= PRIOR_LOG_ODDS) {
      this.logOdds = PRIOR_LOG_ODDS + (this.logOdds - PRIOR_LOG_ODDS) * Math.exp((this.decayedAtMs - nowMs) / SUCCESS_DECAY_MS);
    } else if (nowMs > this.failureEndsAtMs) {
      const remainingShare = Math.exp((Math.max(this.decayedAtMs, this.failureEndsAtMs) - nowMs) / FAILURE_DECAY_MS);
      const probability = PRIOR_PROBABILITY + (1 / (1 + Math.exp(-this.logOdds)) - PRIOR_PROBABILITY) * remainingShare;
      this.logOdds = Math.log(probability / (1 - probability));
    }
    this.decayedAtMs = nowMs;
  }
}
