import type * as contracts from '../contracts/index.js';
import type * as requestInProgress from './RequestInProgress.js';

/** Ends and removes requests. The `RequestTask` implements it for the objects that it owns. */
export interface RequestLifecycle {
  /**
   * Records the outcome of a request, sends it to the sender and cancels the remaining attempts.
   * @param request - Request to end.
   * @param outcome - Its outcome.
   * @param evidenceOutcome - Type of outcome to count in the evidence of the member, if it differs from the outcome sent.
   */
  endRequest(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome, evidenceOutcome?: contracts.Outcome['type']): void;

  /**
   * Removes a request if it has ended and has no attempts left.
   * @param request - Request to remove.
   */
  removeRequest(request: requestInProgress.RequestInProgress): void;
}
