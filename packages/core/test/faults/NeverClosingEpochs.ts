import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: admits operations of closed epochs. */
export class NeverClosingEpochs extends core.contracts.OperationEpochs {
  override isAdmitted(): boolean {
    return true;
  }
}
