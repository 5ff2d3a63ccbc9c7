import type * as contracts from '../contracts/index.js';
import type * as requestInProgress from './RequestInProgress.js';

// Interactive requests sent per background request of the same member.
const INTERACTIVE_PER_BACKGROUND = 4;

/** Queued requests of one member for one service, in two priority classes. */
export class MemberQueue {
  private readonly queued: Record<contracts.RequestKind['priority'], Set<requestInProgress.RequestInProgress>> = {
    interactive: new Set(), background: new Set(),
  };

  // Requests that were put back because they could not be sent; they precede both classes.
  private putBack: requestInProgress.RequestInProgress[] = [];

  private consecutiveInteractive = 0;

  /** Credit of the member in the deficit round robin (its deficit counter); a request costs 1. */
  credit = 0;

  /**
   * @param member - Name of the member.
   * @param share - Share of the member in the capacity, relative to the other members.
   */
  constructor(readonly member: string, public share: number) {}

  /**
   * Adds credit.
   * @param credit - Number of requests, also fractional, that the member may send in addition.
   */
  addCredit(credit: number): void {
    this.credit += credit;
  }

  /** Counts the queued requests. */
  count(): number {
    return this.queued.interactive.size + this.queued.background.size + this.putBack.length;
  }

  /**
   * Estimates how many queued requests of this member would be sent before a new one.
   * @param priority - Priority class of the new request.
   */
  countBefore(priority: contracts.RequestKind['priority']): number {
    const { interactive, background } = this.queued;
    const [ownCount, otherCount, otherPerOwn] = priority === 'interactive'
      ? [interactive.size, background.size, 1 / INTERACTIVE_PER_BACKGROUND]
      : [background.size, interactive.size, INTERACTIVE_PER_BACKGROUND];
    return this.putBack.length + ownCount + Math.min(otherCount, (ownCount + 1) * otherPerOwn);
  }

  /**
   * Adds a request.
   * @param request - Request to queue.
   */
  insert(request: requestInProgress.RequestInProgress): void {
    this.queued[request.priority].add(request);
  }

  /**
   * Puts a request back at the front.
   * @param request - Request that could not be sent.
   */
  insertFirst(request: requestInProgress.RequestInProgress): void {
    this.putBack.push(request);
  }

  /**
   * Removes a request.
   * @param request - Request that ended.
   */
  remove(request: requestInProgress.RequestInProgress): void {
    if (this.queued[request.priority].delete(request)) return;
    this.putBack = this.putBack.filter((other) => other !== request);
  }

  /** Removes and returns the request to send next. */
  takeNext(): requestInProgress.RequestInProgress | undefined {
    const reinserted = this.putBack.shift();
    if (reinserted !== undefined) return reinserted;
    const { interactive, background } = this.queued;
    const backgroundIsDue = interactive.size === 0 || (background.size > 0 && this.consecutiveInteractive >= INTERACTIVE_PER_BACKGROUND);
    this.consecutiveInteractive = backgroundIsDue ? 0 : this.consecutiveInteractive + 1;
    const classQueue = backgroundIsDue ? background : interactive;
    const [request] = classQueue;
    if (request !== undefined) classQueue.delete(request);
    return request;
  }

  /** Removes and returns the request with the longest expected wait: the newest one, of the background class if there is one. */
  takeNewest(): requestInProgress.RequestInProgress | undefined {
    const classQueue = this.queued.background.size > 0 ? this.queued.background : this.queued.interactive;
    const request = [...classQueue].at(-1);
    if (request !== undefined) classQueue.delete(request);
    return request;
  }
}
