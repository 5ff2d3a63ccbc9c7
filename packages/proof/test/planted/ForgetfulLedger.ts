import * as core from '@tamarackferry/core';

/** Faulty ledger that allows every request of an operation to run. */
export class ForgetfulLedger extends core.contracts.OperationLedger {
  override begin(): core.contracts.LedgerDecision {
    return { type: 'run' };
  }
}
