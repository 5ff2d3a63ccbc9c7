import type * as outcome from './Outcome.js';
import * as retainedAnswer from './RetainedAnswer.js';

const MAX_ANSWER_BYTES = 16 * 1_024;

// Without a limit on the total, 200,000 entries of 16 KiB would use 3 GB.
const MAX_TOTAL_BYTES = 16 * 1_024 * 1_024;

/** Outcome of an operation as stored in the ledger. */
export interface RetainedOutcome {
  readonly retained: Exclude<outcome.Outcome, { type: 'answered' }> | retainedAnswer.RetainedAnswer;
  /** Size of the retained answer, in bytes. */
  readonly bytes: number;
}

/** Decides which answers the ledger retains for later requests with the same operation id. */
export class AnswerRetentionPolicy {
  /**
   * Builds the outcome to retain. An answer that exceeds a size limit is replaced by `unknown`.
   * @param full - Outcome of the operation.
   * @param retainedBytes - Total size of the answers that are already retained, in bytes.
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
