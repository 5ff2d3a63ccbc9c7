import * as likelihoodRatioPolicy from './LikelihoodRatioPolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

// Greater than the maximum contribution of the peers, so that failures observed by this VM are required as well.
const EJECTION_FAILURE_SCORE = 9;

/** Minimises false ejections: ejects an instance only if VMs of another place agree or if a probe confirms the failure. */
export class CautiousDetectionPolicy extends likelihoodRatioPolicy.LikelihoodRatioPolicy {
  protected override getFailureScoreRange(): { readonly from: number; readonly to: number } {
    return { from: 3.5, to: 6.5 };
  }

  protected override hasSufficientEvidence(health: instanceHealth.InstanceHealth): boolean {
    const confirmed = health.peerAssessment.otherPlaces === 'agrees' || health.probeVerdict === 'confirmed';
    return confirmed && this.computeCombinedFailureScore(health) >= EJECTION_FAILURE_SCORE;
  }
}
