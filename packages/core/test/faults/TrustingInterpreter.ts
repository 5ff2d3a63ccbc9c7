import * as core from '@tamarackferry/core';

/** Fault: takes every answer as the answer to its own request. */
export class TrustingInterpreter extends core.callers.AttemptInterpreter {
  override isOwnAnswer(): boolean {
    return true;
  }
}
