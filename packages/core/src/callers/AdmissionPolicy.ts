import type * as requestInProgress from './RequestInProgress.js';

/** Decides which requests are queued for a saturated service, and which of them is sent next. */
export abstract class AdmissionPolicy {
  /**
   * Adds a request and returns the request to shed because the queue is full, which may be the same one.
   * @param request - Request to queue.
   */
  abstract insert(request: requestInProgress.RequestInProgress): requestInProgress.RequestInProgress | undefined;

  /** Removes and returns the request to send next. */
  abstract takeNext(): requestInProgress.RequestInProgress | undefined;

  /**
   * Puts a request back that could not be sent. It precedes the other requests of its member.
   * @param request - Request returned by `takeNext`.
   */
  abstract insertFirst(request: requestInProgress.RequestInProgress): void;

  /**
   * Removes a request that ended in the queue.
   * @param request - Request to remove.
   */
  abstract remove(request: requestInProgress.RequestInProgress): void;

  /**
   * Estimates how many queued requests would be sent before a new request.
   * @param request - New request.
   */
  abstract countBefore(request: requestInProgress.RequestInProgress): number;

  /** Counts the queued requests. */
  abstract count(): number;
}
