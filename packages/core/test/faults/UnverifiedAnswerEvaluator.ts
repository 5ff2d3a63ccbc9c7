import * as core from '@tamarackferry/core';

// Deliberate fault for tests.
/** Fault: takes every answer as the answer to its own request. */
export class UnverifiedAnswerEvaluator extends core.callers.AttemptEvaluator {
  override isMatchingAnswer(): boolean {
    return true;
  }
}
