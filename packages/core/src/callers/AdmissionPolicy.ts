import type * as requestInProgress from './RequestInProgress.js';

/** Decides which requests wait for a saturated service, and which of them goes next. */
export abstract class AdmissionPolicy {
  /**
   * Adds a request and returns the request that must be shed for it, which may be the same.
   * @param request - Request that has to wait.
   */
  abstract insert(request: requestInProgress.RequestInProgress): requestInProgress.RequestInProgress | undefined;

  /** Takes the request that goes next. */
  abstract takeNext(): requestInProgress.RequestInProgress | undefined;

  /**
   * Puts a request back that was taken in vain. It goes before the other requests of its member and class.
   * @param request - Request that was taken.
   */
  abstract insertFirst(request: requestInProgress.RequestInProgress): void;

  /**
   * Removes a request that ended while it waited.
   * @param request - Request to remove.
   */
  abstract remove(request: requestInProgress.RequestInProgress): void;

  /**
   * Counts the requests that are served before a new request of the same member and class would be.
   * @param request - New request.
   */
  abstract countBefore(request: requestInProgress.RequestInProgress): number;

  /** Counts the requests that wait. */
  abstract count(): number;
}
