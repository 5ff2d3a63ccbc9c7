import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: runs an operation again that has finished. */
export class RerunningLedger extends core.contracts.OperationLedger {
  override begin(...input: Parameters<core.contracts.OperationLedger['begin']>): core.contracts.LedgerDecision {
    const decision = super.begin(...input);
    return decision.type === 'settled' ? { type: 'run' } : decision;
  }
}
