import type * as contracts from '../contracts/index.js';
import type * as requestInProgress from './RequestInProgress.js';

// Interactive requests that go before each background request of the same member.
const INTERACTIVE_PER_BACKGROUND = 4;

/** Requests of one member that wait for a service, in two classes. */
export class MemberQueue {
  private readonly waiting: Record<contracts.RequestKind['priority'], Set<requestInProgress.RequestInProgress>> = {
    interactive: new Set(), background: new Set(),
  };

  // Requests that were taken in vain go first.
  private putBack: requestInProgress.RequestInProgress[] = [];

  private consecutiveInteractive = 0;

  /** Credit of the deficit round robin; one request costs 1. */
  deficit = 0;

  /**
   * @param member - Name of the member.
   * @param share - Share of admission relative to the other members.
   */
  constructor(readonly member: string, public share: number) {}

  /**
   * Adds credit.
   * @param credit - Number of requests that may be served for it.
   */
  addDeficit(credit: number): void {
    this.deficit += credit;
  }

  /** Counts the requests that wait. */
  count(): number {
    return this.waiting.interactive.size + this.waiting.background.size + this.putBack.length;
  }

  /**
   * Counts the requests that are served before a new one of a class.
   * @param priority - Class of the new request.
   */
  countBefore(priority: contracts.RequestKind['priority']): number {
    const { interactive, background } = this.waiting;
    const [ownCount, otherCount, otherPerOwn] = priority === 'interactive'
      ? [interactive.size, background.size, 1 / INTERACTIVE_PER_BACKGROUND]
      : [background.size, interactive.size, INTERACTIVE_PER_BACKGROUND];
    return this.putBack.length + ownCount + Math.min(otherCount, (ownCount + 1) * otherPerOwn);
  }

  /**
   * Adds a request.
   * @param request - Request that has to wait.
   */
  insert(request: requestInProgress.RequestInProgress): void {
    this.waiting[request.priority].add(request);
  }

  /**
   * Puts a request back at the front.
   * @param request - Request that was taken in vain.
   */
  insertFirst(request: requestInProgress.RequestInProgress): void {
    this.putBack.push(request);
  }

  /**
   * Removes a request.
   * @param request - Request that ended.
   */
  remove(request: requestInProgress.RequestInProgress): void {
    if (this.waiting[request.priority].delete(request)) return;
    this.putBack = this.putBack.filter((other) => other !== request);
  }

  /** Takes the request that goes next. */
  takeNext(): requestInProgress.RequestInProgress | undefined {
    const reinserted = this.putBack.shift();
    if (reinserted !== undefined) return reinserted;
    const { interactive, background } = this.waiting;
    const backgroundIsDue = interactive.size === 0 || (background.size > 0 && this.consecutiveInteractive >= INTERACTIVE_PER_BACKGROUND);
    this.consecutiveInteractive = backgroundIsDue ? 0 : this.consecutiveInteractive + 1;
    const classQueue = backgroundIsDue ? background : interactive;
    const [request] = classQueue;
    if (request !== undefined) classQueue.delete(request);
    return request;
  }

  /** Takes the request that would have waited longest from now: the newest, of the background class first. */
  takeNewest(): requestInProgress.RequestInProgress | undefined {
    const classQueue = this.waiting.background.size > 0 ? this.waiting.background : this.waiting.interactive;
    const request = [...classQueue].at(-1);
    if (request !== undefined) classQueue.delete(request);
    return request;
  }
}
