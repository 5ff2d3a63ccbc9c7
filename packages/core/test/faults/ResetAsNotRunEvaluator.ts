import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: treats a reset connection as proof that the request did not run. */
export class ResetAsNotRunEvaluator extends core.callers.AttemptEvaluator {
  override evaluateResult(...input: Parameters<core.callers.AttemptEvaluator['evaluateResult']>): core.callers.AttemptEvaluation {
    const meaning = super.evaluateResult(...input);
    return input[0].type === 'reset' ? { ...meaning, verdict: { type: 'not-run', cause: 'refused' } } : meaning;
  }
}
