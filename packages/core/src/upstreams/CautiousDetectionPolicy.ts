import * as likelihoodRatioPolicy from './LikelihoodRatioPolicy.js';
import type * as instanceHealth from './InstanceHealth.js';

// Above what pooled evidence reaches alone, so that own evidence is needed as well.
const EJECTION_FAILURE_SCORE = 9;

/** Minimises false ejections: ejects only with agreeing evidence from a second place or after confirmation by a probe. */
export class CautiousDetectionPolicy extends likelihoodRatioPolicy.LikelihoodRatioPolicy {
  protected override getWeightReductionRange(): { readonly from: number; readonly to: number } {
    return { from: 3.5, to: 6.5 };
  }

  protected override hasSufficientEvidence(health: instanceHealth.InstanceHealth): boolean {
    const confirmed = health.peerAssessment.otherPlaces === 'agrees' || health.probeResult === 'confirmed';
    return confirmed && this.computeCombinedFailureScore(health) >= EJECTION_FAILURE_SCORE;
  }
}
