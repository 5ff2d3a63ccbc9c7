import * as evidencePolicy from './EvidencePolicy.js';
import type * as suspicion from './Suspicion.js';

// Above what pooled evidence reaches alone, so that own evidence is needed as well.
const EJECT_SCORE = 9;

/** Minimises false ejections: ejects only with agreeing evidence from a second place or after confirmation by a probe. */
export class CautiousDetectionPolicy extends evidencePolicy.EvidencePolicy {
  protected override getSteering(): { readonly from: number; readonly to: number } {
    return { from: 3.5, to: 6.5 };
  }

  protected override isProven(known: suspicion.Suspicion): boolean {
    const confirmed = known.pooled.secondPlace === 'agrees' || known.probe === 'confirmed';
    return confirmed && this.computeScore(known) >= EJECT_SCORE;
  }
}
