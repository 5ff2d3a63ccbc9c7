import * as core from '@tamarackferry/core';

/** Faulty interpreter that takes a broken answer for proof that nothing ran. */
export class HastyInterpreter extends core.callers.AttemptEvaluator {
  override evaluateResult(...args: Parameters<core.callers.AttemptEvaluator['evaluateResult']>): core.callers.AttemptEvaluation {
    const meaning = super.evaluateResult(...args);
    return args[0].type === 'truncated' ? { ...meaning, verdict: { type: 'not-run', cause: 'cancelled' } } : meaning;
  }
}
