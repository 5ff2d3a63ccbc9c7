import * as likelihoodRatioPolicy from './LikelihoodRatioPolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

// The reduced weight already limits an instance to its trial share, so the threshold of an ejection can be so high that a healthy
// instance rarely reaches it by chance.
const EJECTION_FAILURE_SCORE = 9;

// Used if no peer has reported evidence.
const EJECTION_FAILURE_SCORE_ALONE = 12;

// Peers are given this time to report their evidence.
const REPLY_WAIT_MS = 500;

/** Minimises detection time: reduces weights from a low failure score on, and ejects on this VM's observations unless peers contradict. */
export class PromptDetectionPolicy extends likelihoodRatioPolicy.LikelihoodRatioPolicy {
  protected override getFailureScoreRange(): { readonly from: number; readonly to: number } {
    return { from: 3, to: 6 };
  }

  protected override hasSufficientEvidence(health: instanceHealth.InstanceHealth): boolean {
    if (health.suspectedForMs < REPLY_WAIT_MS) return false;
    return this.computeCombinedFailureScore(health)
      >= (health.peerAssessment.replies > 0 ? EJECTION_FAILURE_SCORE : EJECTION_FAILURE_SCORE_ALONE);
  }
}
