import * as core from '@tamarackferry/core';

/** Fault: admits operations of closed epochs. */
export class EndlessEpochs extends core.contracts.OperationEpochs {
  override isAdmitted(): boolean {
    return true;
  }
}
