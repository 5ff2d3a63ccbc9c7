import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: sends requests in order of arrival, regardless of shares, and sheds new ones if the queue is full. */
export class FifoAdmissionPolicy extends core.callers.FairAdmissionPolicy {
  private readonly queued = new Set<core.callers.RequestInProgress>();

  override insert(request: core.callers.RequestInProgress): core.callers.RequestInProgress | undefined {
    if (this.queued.size >= 500) return request;
    this.queued.add(request);
    return undefined;
  }

  override takeNext(): core.callers.RequestInProgress | undefined {
    const [request] = this.queued;
    if (request !== undefined) this.queued.delete(request);
    return request;
  }

  override insertFirst(request: core.callers.RequestInProgress): void {
    this.queued.add(request);
  }

  override remove(request: core.callers.RequestInProgress): void {
    this.queued.delete(request);
  }

  override countBefore(): number {
    return this.queued.size;
  }

  override count(): number {
    return this.queued.size;
  }
}
