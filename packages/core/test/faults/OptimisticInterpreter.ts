import * as core from '@tamarackferry/core';

/** Fault: takes a reset connection as proof that the request did not run. */
export class OptimisticInterpreter extends core.callers.AttemptInterpreter {
  override evaluateResult(...input: Parameters<core.callers.AttemptInterpreter['evaluateResult']>): core.callers.AttemptMeaning {
    const meaning = super.evaluateResult(...input);
    return input[0].type === 'reset' ? { ...meaning, verdict: { type: 'not-run', cause: 'refused' } } : meaning;
  }
}
