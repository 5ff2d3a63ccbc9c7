/** First step of a request. `direct`: to an upstream. `ledger`: to the ledger. `needs-id`: rejected for its missing operation id. */
export type OperationStep = 'direct' | 'ledger' | 'needs-id';

/** Decides whether the requests of a kind go through the operation ledger. */
export abstract class OperationPolicy {
  /**
   * Chooses the first step of a request.
   * @param operationId - Operation id of the request, if any.
   */
  abstract chooseStep(operationId: string | undefined): OperationStep;
}
