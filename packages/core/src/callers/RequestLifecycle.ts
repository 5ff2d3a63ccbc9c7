import type * as contracts from '../contracts/index.js';
import type * as requestInProgress from './RequestInProgress.js';

/** Ends requests on behalf of the parts of the `RequestTask`. */
export interface RequestLifecycle {
  /**
   * Records the outcome, answers the sender and releases what the request holds.
   * @param request - Request to end.
   * @param outcome - Its outcome.
   * @param evidenceOutcome - Type of outcome for the evidence, if it differs.
   */
  endRequest(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome, evidenceOutcome?: contracts.Outcome['type']): void;

  /**
   * Removes a request that has ended and whose last attempt was released.
   * @param request - Request to remove.
   */
  removeRequest(request: requestInProgress.RequestInProgress): void;
}
