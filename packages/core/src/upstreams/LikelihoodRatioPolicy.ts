import * as detectionPolicy from './DetectionPolicy.js';
import * as slowStart from './SlowStart.js';
import type * as instanceHealth from './InstanceHealth.js';

const SUSPICION_FAILURE_SCORE_MIN = 4;

// Added to the failure score for each peer after the first that has ejected the instance. The first adds nothing, because a single peer
// may be wrong. This addition is used only for the weight, not for the decision to eject.
const PEER_EJECTION_SCORE = 2;

const PEER_EJECTION_SCORE_MAX = 6;

// Lower bound of the log likelihood ratio of the evidence of peers: reports of success from peers can offset a few failures that this VM
// observed, but not a persistent fault between this VM and the instance.
const PEER_LOG_RATIO_MIN = -3;

const EJECTION_MIN_MS = 5_000;

const EJECTION_MAX_MS = 300_000;

/**
 * Base class of the policies that compare a failure score with thresholds. The score is a sum of log likelihood ratios, computed from
 * this VM's observations and the evidence of its peers.
 */
export abstract class LikelihoodRatioPolicy extends detectionPolicy.DetectionPolicy {
  override computeWeight(health: instanceHealth.InstanceHealth): number {
    if (health.link === 'suspected') return slowStart.TRIAL_SHARE;
    if (health.poolState === 'degraded') return 1;
    const { from, to } = this.getFailureScoreRange();
    const peerScore = health.peerAssessment.verdict === 'contradicts' ? 0
      : Math.min(PEER_EJECTION_SCORE_MAX, PEER_EJECTION_SCORE * Math.max(0, health.peerEjections - 1));
    const progress = Math.min(1, Math.max(0, (this.computeCombinedFailureScore(health) + peerScore - from) / (to - from)));
    return Math.max(slowStart.TRIAL_SHARE, 1 - progress);
  }

  override decide(health: instanceHealth.InstanceHealth): 'keep' | 'eject' {
    if (health.link === 'suspected' || health.poolState === 'degraded') return 'keep';
    // Time-outs that only VMs of one place observe are probably caused by the network, so VMs of other places must agree that the
    // instance is bad.
    if (health.failureKind === 'mostly-timeouts' && health.peerAssessment.otherPlaces !== 'agrees') return 'keep';
    if (health.peerAssessment.otherPlaces === 'contradicts') return 'keep';
    return health.peerAssessment.verdict !== 'contradicts' && this.hasSufficientEvidence(health) ? 'eject' : 'keep';
  }

  override isSuspected(health: instanceHealth.InstanceHealth): boolean {
    return health.failureScore >= SUSPICION_FAILURE_SCORE_MIN || health.peerAssessment.verdict === 'agrees'
      || health.ejection === 'trial' || health.peerEjections > 0;
  }

  override computeEjectionMs(earlierEjections: number): number {
    return Math.min(EJECTION_MAX_MS, EJECTION_MIN_MS * 2 ** earlierEjections);
  }

  override computeTrialFailureScore(ejections: number): number {
    const { from, to } = this.getFailureScoreRange();
    // Each further ejection halves the distance from the upper bound, so that a repeatedly ejected instance starts with a lower weight.
    return from + (to - from) * (1 - 0.5 ** (ejections - 1));
  }

  /** Gets the failure scores between which the weight falls linearly from 1 to the trial share, the minimum weight. */
  protected abstract getFailureScoreRange(): { readonly from: number; readonly to: number };

  /**
   * Decides whether the failure score is high enough for an ejection. Called only if neither a suspected link, a degraded pool nor
   * contradicting peers rule out an ejection.
   * @param health - Observations and reports about the instance.
   */
  protected abstract hasSufficientEvidence(health: instanceHealth.InstanceHealth): boolean;

  /** Computes the failure score from this VM's observations and the evidence of peers together. */
  protected computeCombinedFailureScore(health: instanceHealth.InstanceHealth): number {
    return health.failureScore + Math.max(PEER_LOG_RATIO_MIN, health.peerAssessment.logRatio);
  }
}
