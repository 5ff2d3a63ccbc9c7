import * as core from '@tamarackferry/core';

/** Faulty interpreter that takes every answer for its own. */
export class TrustingInterpreter extends core.callers.AttemptEvaluator {
  override isMatchingAnswer(): boolean {
    return true;
  }
}
