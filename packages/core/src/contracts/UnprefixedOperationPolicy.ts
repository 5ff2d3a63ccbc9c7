import * as operationPolicy from './OperationPolicy.js';

/** Policy of idempotent kinds: an operation id is ignored. */
export class UnprefixedOperationPolicy extends operationPolicy.OperationPolicy {
  override chooseStep(): operationPolicy.OperationStep {
    return 'direct';
  }
}
