/** First step of a request: `direct` to an upstream, `ledger` first, or rejected because it `needs-id`. */
export type OperationStep = 'direct' | 'ledger' | 'needs-id';

/** Decides how the requests of a kind relate to the operation ledger. */
export abstract class OperationPolicy {
  /**
   * Chooses the first step of a request.
   * @param operationId - Operation id that the request carries, if any.
   */
  abstract chooseStep(operationId: string | undefined): OperationStep;
}
