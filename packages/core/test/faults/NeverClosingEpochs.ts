import * as core from '@tamarackferry/core';

/** Fault: admits operations of closed epochs. */
export class NeverClosingEpochs extends core.contracts.OperationEpochs {
  override isAdmitted(): boolean {
    return true;
  }
}
