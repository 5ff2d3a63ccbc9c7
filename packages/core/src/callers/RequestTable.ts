import type * as requestInProgress from './RequestInProgress.js';

/** Requests in progress at one VM. The limit on their number is divided so that no member can use the capacity of the others. */
export class RequestTable {
  private readonly requests = new Map<string, requestInProgress.RequestInProgress>();

  private readonly countsByMember = new Map<string, number>();

  /** @param maxRequests - Maximum number of requests in progress. */
  constructor(private readonly maxRequests: number) {}

  /**
   * Gets a request in progress.
   * @param requestId - Id of the request.
   */
  getRequest(requestId: string): requestInProgress.RequestInProgress | undefined {
    return this.requests.get(requestId);
  }

  /**
   * Returns whether a request of a member may be admitted. Once the table is half full, each member may have at most an equal part of
   * half the limit.
   * @param member - Name of the member.
   */
  canAdmit(member: string): boolean {
    const halfLimit = this.maxRequests / 2;
    if (this.requests.size < halfLimit) return true;
    const count = this.countsByMember.get(member) ?? 0;
    const members = this.countsByMember.size + (count === 0 ? 1 : 0);
    return this.requests.size < this.maxRequests && count < halfLimit / members;
  }

  /**
   * Adds a request.
   * @param request - Request that arrived.
   */
  add(request: requestInProgress.RequestInProgress): void {
    this.requests.set(request.requestId, request);
    this.countsByMember.set(request.memberName, (this.countsByMember.get(request.memberName) ?? 0) + 1);
  }

  /**
   * Removes a request.
   * @param request - Request whose last attempt has ended.
   */
  remove(request: requestInProgress.RequestInProgress): void {
    if (!this.requests.delete(request.requestId)) return;
    const remaining = (this.countsByMember.get(request.memberName) ?? 0) - 1;
    if (remaining > 0) this.countsByMember.set(request.memberName, remaining);
    else this.countsByMember.delete(request.memberName);
  }

  /** Counts the requests. */
  count(): number {
    return this.requests.size;
  }
}
