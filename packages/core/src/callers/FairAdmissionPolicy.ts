import * as admissionPolicy from './AdmissionPolicy.js';
import * as memberQueue from './MemberQueue.js';
import type * as requestInProgress from './RequestInProgress.js';

/** Serves the members in proportion to their shares (deficit round robin) and sheds from the member that is most above its share. */
export class FairAdmissionPolicy extends admissionPolicy.AdmissionPolicy {
  private readonly queues = new Map<string, memberQueue.MemberQueue>();

  // The same queues in the order of their turns.
  private turns: memberQueue.MemberQueue[] = [];

  private total = 0;

  /** @param maxWaiting - Number of requests that wait at most. */
  constructor(private readonly maxWaiting: number) {
    super();
  }

  override insert(request: requestInProgress.RequestInProgress): requestInProgress.RequestInProgress | undefined {
    const queue = this.openQueue(request);
    queue.insert(request);
    this.total += 1;
    return this.total > this.maxWaiting ? this.shedNewest() : undefined;
  }

  override takeNext(): requestInProgress.RequestInProgress | undefined {
    if (this.turns.length === 0) return undefined;
    if (!this.turns.some((queue) => queue.deficit >= 1)) this.refillDeficits();
    const index = this.turns.findIndex((queue) => queue.deficit >= 1);
    const queue = this.turns[index]!;
    queue.deficit -= 1;
    // The next turn begins after this member, so that equal members alternate.
    this.turns = [...this.turns.slice(index + 1), ...this.turns.slice(0, index + 1)];
    const request = queue.takeNext();
    this.total -= 1;
    this.closeIfEmpty(queue);
    return request;
  }

  override release(request: requestInProgress.RequestInProgress): void {
    const queue = this.openQueue(request);
    queue.release(request);
    queue.deficit += 1;
    this.total += 1;
  }

  override remove(request: requestInProgress.RequestInProgress): void {
    const queue = this.queues.get(request.memberName);
    if (queue === undefined) return;
    const before = queue.count();
    queue.remove(request);
    this.total -= before - queue.count();
    this.closeIfEmpty(queue);
  }

  override countBefore(request: requestInProgress.RequestInProgress): number {
    const own = this.queues.get(request.memberName);
    const ahead = own?.countBefore(request.priority) ?? 0;
    const share = request.share || 1;
    // While the member's own requests are served, each other member is served in proportion to its share.
    return this.turns.filter((queue) => queue !== own)
      .reduce((sum, queue) => sum + Math.min(queue.count(), ((ahead + 1) * queue.share) / share), ahead);
  }

  override count(): number {
    return this.total;
  }

  private openQueue(request: requestInProgress.RequestInProgress): memberQueue.MemberQueue {
    const queue = this.queues.get(request.memberName) ?? new memberQueue.MemberQueue(request.memberName, request.share);
    queue.share = request.share;
    this.queues.set(request.memberName, queue);
    if (queue.count() === 0) this.turns.push(queue);
    return queue;
  }

  private closeIfEmpty(queue: memberQueue.MemberQueue): void {
    if (queue.count() > 0) return;
    this.queues.delete(queue.member);
    this.turns = this.turns.filter((other) => other !== queue);
  }

  // Adds as many rounds at once as the first member needs for a request. Quanta of at most 1 keep the bursts of a member short.
  private refillDeficits(): void {
    const largest = Math.max(...this.turns.map((queue) => queue.share));
    const rounds = Math.min(...this.turns.map((queue) => Math.ceil(((1 - queue.deficit) * largest) / queue.share)));
    this.turns.forEach((queue) => queue.addDeficit((rounds * queue.share) / largest));
  }

  private shedNewest(): requestInProgress.RequestInProgress | undefined {
    const longest = this.turns.reduce((left, right) => (right.count() / right.share > left.count() / left.share ? right : left));
    const request = longest.takeNewest();
    if (request !== undefined) this.total -= 1;
    this.closeIfEmpty(longest);
    return request;
  }
}
