// Log odds that an instance of which nothing is known fails most requests: about one in eight.
const PRIOR_LOG_ODDS = -2;

// Gray spells last about ten seconds; without news the estimate returns to the prior in that time.
const DECAY_MS = 10_000;

const MIN_LOG_ODDS = -4;
const MAX_LOG_ODDS = 5;

// A gray instance answers about one request in four; a healthy one answers nearly all.
const GRAY_ANSWER_SHARE = 0.25;
const SUCCESS_LOG_RATIO = -1.6;

// About one request in a hundred fails at a healthy instance, about one in two at one that fails part of them.
const FAILURE_LOG_RATIO = 2.2;

// A success as late as silence that tells is no good sign.
const LATE_SUCCESS_WEIGHT = 0.8;

// Silence of one request alone condemns no instance that answers others.
const MAX_NO_RESPONSE_LOG_RATIO = 3.5;

// What other VMs saw: one alone cannot condemn an instance, since its own links may be at fault.
const MAX_PEER_DEVIATION = 2.2;
const MAX_TOTAL_PEER_DEVIATION = 3.5;
const MIN_PEER_DEVIATION = -1;

// Share of requests that fail at a gray and at a healthy instance.
const GRAY_FAILURE_SHARE = 0.7;
const HEALTHY_FAILURE_SHARE = 0.012;

interface PeerEvidence {
  readonly deviation: number;
  readonly atMs: number;
}

/** Estimates whether an instance is in a gray spell, by Bayesian updates that are forgotten with time. */
export class GrayFailureEstimator {
  private logOdds = PRIOR_LOG_ODDS;

  private decayedAtMs: number;

  private readonly peers = new Map<string, PeerEvidence>();

  /** @param nowMs - Present time. */
  constructor(nowMs: number) {
    this.decayedAtMs = nowMs;
  }

  /**
   * Computes how much silence speaks for a gray instance, as a logarithm of odds.
   * @param survival - Share of answers that take longer than the silence has lasted.
   */
  static computeNoResponseLogRatio(survival: number): number {
    const noResponseIfGray = 1 - GRAY_ANSWER_SHARE + GRAY_ANSWER_SHARE * survival;
    return Math.min(MAX_NO_RESPONSE_LOG_RATIO, Math.log(noResponseIfGray / Math.max(1e-3, survival)));
  }

  /**
   * Takes a good answer.
   * @param survival - Share of answers that take longer than this one did.
   * @param nowMs - Present time.
   */
  recordSuccess(survival: number, nowMs: number): void {
    this.addLogRatio(SUCCESS_LOG_RATIO + LATE_SUCCESS_WEIGHT * GrayFailureEstimator.computeNoResponseLogRatio(survival), nowMs);
  }

  /**
   * Takes a failure of the instance or of the connection to it.
   * @param nowMs - Present time.
   */
  recordFailure(nowMs: number): void {
    this.addLogRatio(FAILURE_LOG_RATIO, nowMs);
  }

  /**
   * Takes the silence of a request that was given up.
   * @param survival - Share of answers that take longer than the silence lasted.
   * @param nowMs - Present time.
   */
  recordNoResponse(survival: number, nowMs: number): void {
    this.addLogRatio(Math.max(0, GrayFailureEstimator.computeNoResponseLogRatio(survival)), nowMs);
  }

  /**
   * Takes what another VM believes.
   * @param peer - Name of the VM.
   * @param deviation - Its log odds above the prior, from its own requests only.
   * @param nowMs - Present time.
   */
  recordPeerEvidence(peer: string, deviation: number, nowMs: number): void {
    this.peers.set(peer, { deviation: Math.max(MIN_PEER_DEVIATION, Math.min(MAX_PEER_DEVIATION, deviation)), atMs: nowMs });
  }

  /**
   * Computes the log odds above the prior, from the requests of this VM only.
   * @param silence - What the silence of the requests in flight adds.
   * @param nowMs - Present time.
   */
  computeDeviation(noResponseLogRatio: number, nowMs: number): number {
    this.applyDecay(nowMs);
    return Math.min(MAX_LOG_ODDS, this.logOdds + noResponseLogRatio) - PRIOR_LOG_ODDS;
  }

  /**
   * Estimates the probability that a request sent now gets no good answer.
   * @param silence - What the silence of the requests in flight adds.
   * @param nowMs - Present time.
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
