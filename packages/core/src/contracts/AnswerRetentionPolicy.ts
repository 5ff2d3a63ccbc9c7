import type * as outcome from './Outcome.js';
import * as retainedAnswer from './RetainedAnswer.js';

const MAX_ANSWER_BYTES = 16 * 1_024;

// Without a bound on the sum, 200,000 entries of 16 KiB would hold 3 GB.
const MAX_TOTAL_BYTES = 16 * 1_024 * 1_024;

/** What the ledger keeps of an outcome. */
export interface RetainedOutcome {
  readonly retained: Exclude<outcome.Outcome, { type: 'answered' }> | retainedAnswer.RetainedAnswer;
  /** Size of the kept answer, in bytes. */
  readonly bytes: number;
}

/** Rule for the answers that the ledger keeps for repeats. */
export class AnswerRetentionPolicy {
  /**
   * Makes the outcome to keep. An answer that is too large is replaced by "unknown".
   * @param full - Outcome of the operation.
   * @param keptBytes - Size of all answers that are kept already, in bytes.
   */
  limitOutcome(full: outcome.Outcome, retainedBytes: number): RetainedOutcome {
    if (full.type !== 'answered') return { retained: full, bytes: 0 };
    const { headers, body } = full.answer;
    const bytes = headers.reduce((sum, [name, value]) => sum + name.length + value.length, body.byteLength);
    if (bytes > MAX_ANSWER_BYTES || retainedBytes + bytes > MAX_TOTAL_BYTES) return { retained: { type: 'unknown', reason: 'answer-not-kept' }, bytes: 0 };
    const retained = new retainedAnswer.RetainedAnswer(full.answer);
    return { retained, bytes: retained.bytes };
  }
}
