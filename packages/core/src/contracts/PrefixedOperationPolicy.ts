import * as operationPolicy from './OperationPolicy.js';

/** Policy of non-idempotent kinds: each request needs an operation id with a prefix issued by a VM. */
export class PrefixedOperationPolicy extends operationPolicy.OperationPolicy {
  override chooseStep(operationId: string | undefined): operationPolicy.OperationStep {
    return operationId === undefined ? 'needs-id' : 'ledger';
  }
}
