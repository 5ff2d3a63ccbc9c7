import * as admissionPolicy from './AdmissionPolicy.js';
import * as memberQueue from './MemberQueue.js';
import type * as requestInProgress from './RequestInProgress.js';

/**
 * Serves the members (tenants) in proportion to their shares (deficit round robin). If the queue is full, sheds the newest request of
 * the member with the most queued requests relative to its share.
 */
export class FairAdmissionPolicy extends admissionPolicy.AdmissionPolicy {
  private readonly queues = new Map<string, memberQueue.MemberQueue>();

  // The same queues in round-robin order.
  private rotation: memberQueue.MemberQueue[] = [];

  private queuedCount = 0;

  /** @param maxQueued - Maximum number of queued requests. */
  constructor(private readonly maxQueued: number) {
    super();
  }

  override insert(request: requestInProgress.RequestInProgress): requestInProgress.RequestInProgress | undefined {
    const queue = this.getOrCreateQueue(request);
    queue.insert(request);
    this.queuedCount += 1;
    return this.queuedCount > this.maxQueued ? this.shedNewest() : undefined;
  }

  override takeNext(): requestInProgress.RequestInProgress | undefined {
    if (this.rotation.length === 0) return undefined;
    if (!this.rotation.some((queue) => queue.credit >= 1)) this.refillCredits();
    const index = this.rotation.findIndex((queue) => queue.credit >= 1);
    const queue = this.rotation[index]!;
    queue.credit -= 1;
    // The next call starts after this member, so that members with equal shares alternate.
    this.rotation = [...this.rotation.slice(index + 1), ...this.rotation.slice(0, index + 1)];
    const request = queue.takeNext();
    this.queuedCount -= 1;
    this.removeIfEmpty(queue);
    return request;
  }

  override insertFirst(request: requestInProgress.RequestInProgress): void {
    const queue = this.getOrCreateQueue(request);
    queue.insertFirst(request);
    // Returns the credit that `takeNext` deducted.
    queue.credit += 1;
    this.queuedCount += 1;
  }

  override remove(request: requestInProgress.RequestInProgress): void {
    const queue = this.queues.get(request.memberName);
    if (queue === undefined) return;
    const before = queue.count();
    queue.remove(request);
    this.queuedCount -= before - queue.count();
    this.removeIfEmpty(queue);
  }

  override countBefore(request: requestInProgress.RequestInProgress): number {
    const ownQueue = this.queues.get(request.memberName);
    const ownAhead = ownQueue?.countBefore(request.priority) ?? 0;
    // Prevents a division by zero.
    const share = request.share || 1;
    // Estimate: while the `ownAhead` requests and the new one are sent, each other member sends at most its proportional number.
    return this.rotation.filter((queue) => queue !== ownQueue)
      .reduce((sum, queue) => sum + Math.min(queue.count(), ((ownAhead + 1) * queue.share) / share), ownAhead);
  }

  override count(): number {
    return this.queuedCount;
  }

  private getOrCreateQueue(request: requestInProgress.RequestInProgress): memberQueue.MemberQueue {
    const queue = this.queues.get(request.memberName) ?? new memberQueue.MemberQueue(request.memberName, request.share);
    queue.share = request.share;
    this.queues.set(request.memberName, queue);
    if (queue.count() === 0) this.rotation.push(queue);
    return queue;
  }

  private removeIfEmpty(queue: memberQueue.MemberQueue): void {
    if (queue.count() > 0) return;
    this.queues.delete(queue.member);
    this.rotation = this.rotation.filter((other) => other !== queue);
  }

  // Adds as many rounds of credit as it takes until some queue has a credit of at least 1. The member with the largest share gets 1
  // per round and the others less, which limits bursts.
  private refillCredits(): void {
    const largest = Math.max(...this.rotation.map((queue) => queue.share));
    const rounds = Math.min(...this.rotation.map((queue) => Math.ceil(((1 - queue.credit) * largest) / queue.share)));
    this.rotation.forEach((queue) => queue.addCredit((rounds * queue.share) / largest));
  }

  private shedNewest(): requestInProgress.RequestInProgress | undefined {
    const mostOverShare = this.rotation.reduce((highest, queue) => (
      queue.count() / queue.share > highest.count() / highest.share ? queue : highest));
    const request = mostOverShare.takeNewest();
    if (request !== undefined) this.queuedCount -= 1;
    this.removeIfEmpty(mostOverShare);
    return request;
  }
}
