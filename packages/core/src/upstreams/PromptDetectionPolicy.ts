import * as likelihoodRatioPolicy from './LikelihoodRatioPolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

// Steering alone brings an instance down to its trial share, so an ejection can wait for evidence that chance rarely gives.
const EJECTION_FAILURE_SCORE = 9;

const EJECTION_FAILURE_SCORE_ALONE = 12;

// Time for the replies of peers.
const REPLY_WAIT_MS = 500;

/** Minimises detection time: steers on a low threshold and ejects on its own evidence unless peers contradict it. */
export class PromptDetectionPolicy extends likelihoodRatioPolicy.LikelihoodRatioPolicy {
  protected override getWeightReductionRange(): { readonly from: number; readonly to: number } {
    return { from: 3, to: 6 };
  }

  protected override hasSufficientEvidence(health: instanceHealth.InstanceHealth): boolean {
    if (health.suspectedForMs < REPLY_WAIT_MS) return false;
    return this.computeCombinedFailureScore(health)
      >= (health.peerAssessment.replies > 0 ? EJECTION_FAILURE_SCORE : EJECTION_FAILURE_SCORE_ALONE);
  }
}
