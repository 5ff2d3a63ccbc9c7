import * as core from '@tamarackferry/core';

/** Fault: sends requests in the order of their arrival, regardless of shares, and sheds new requests when the queue is full. */
export class FifoAdmissionPolicy extends core.callers.FairAdmissionPolicy {
  private readonly waiting = new Set<core.callers.RequestInProgress>();

  override insert(request: core.callers.RequestInProgress): core.callers.RequestInProgress | undefined {
    if (this.waiting.size >= 500) return request;
    this.waiting.add(request);
    return undefined;
  }

  override takeNext(): core.callers.RequestInProgress | undefined {
    const [request] = this.waiting;
    if (request !== undefined) this.waiting.delete(request);
    return request;
  }

  override insertFirst(request: core.callers.RequestInProgress): void {
    this.waiting.add(request);
  }

  override remove(request: core.callers.RequestInProgress): void {
    this.waiting.delete(request);
  }

  override countBefore(): number {
    return this.waiting.size;
  }

  override count(): number {
    return this.waiting.size;
  }
}
