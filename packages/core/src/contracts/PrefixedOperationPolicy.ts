import * as operationPolicy from './OperationPolicy.js';

/** For non-idempotent kinds: each request needs an id with a prefix that a VM issued. */
export class PrefixedOperationPolicy extends operationPolicy.OperationPolicy {
  override chooseStep(operationId: string | undefined): operationPolicy.OperationStep {
    return operationId === undefined ? 'needs-id' : 'ledger';
  }
}
