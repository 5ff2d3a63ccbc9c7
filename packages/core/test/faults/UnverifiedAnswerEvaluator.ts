import * as core from '@tamarackferry/core';

/** Fault: accepts answers without checking that they belong to the request. */
export class UnverifiedAnswerEvaluator extends core.callers.AttemptEvaluator {
  override isMatchingAnswer(): boolean {
    return true;
  }
}
