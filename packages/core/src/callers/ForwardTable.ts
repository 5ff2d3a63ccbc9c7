import type * as vms from '../vms/index.js';
import type * as requestInProgress from './RequestInProgress.js';

interface Forward {
  readonly forwardId: string;
  readonly home: string;
  readonly request: requestInProgress.RequestInProgress;
}

/**
 * Operations that this VM forwarded to their home VMs and that have no outcome yet. The id of an operation names its home VM, which
 * alone decides whether the operation runs.
 */
export class ForwardTable {
  private readonly forwards = new Map<string, Forward>();

  private readonly forwardIds = new Map<string, string>();

  private nextForwardNumber = 0;

  /** @param context - Dependencies shared by the tasks of this VM. */
  constructor(private readonly context: vms.VmContext) {}

  /**
   * Forwards a request to its home VM with the remaining time to its deadline.
   * @param request - Request with an operation id.
   * @param home - Name of the home VM.
   */
  forward(request: requestInProgress.RequestInProgress, home: string): void {
    // With the incarnation in the id, a late answer to an earlier process of this VM matches no forward.
    const forwardId = `${this.context.identity.incarnation}.${this.nextForwardNumber}`;
    this.nextForwardNumber += 1;
    this.forwards.set(forwardId, { forwardId, home, request });
    this.forwardIds.set(request.requestId, forwardId);
    this.send({ forwardId, home, request });
  }

  /**
   * Forwards a request again under the same id.
   * @param request - Request that was forwarded.
   */
  retry(request: requestInProgress.RequestInProgress): void {
    const forward = this.forwards.get(this.forwardIds.get(request.requestId) ?? '');
    if (forward !== undefined) this.send(forward);
  }

  /**
   * Removes and returns the request that a peer answered; undefined if the id matches no forward to that peer.
   * @param from - Name of the peer.
   * @param forwardId - Id of the forward.
   */
  take(from: string, forwardId: string): requestInProgress.RequestInProgress | undefined {
    const forward = this.forwards.get(forwardId);
    if (forward?.home !== from) return undefined;
    this.remove(forward.request);
    return forward.request;
  }

  /**
   * Removes and returns all requests that were forwarded to a VM.
   * @param home - Name of the VM.
   */
  takeAll(home: string): readonly requestInProgress.RequestInProgress[] {
    const requests = [...this.forwards.values()].filter((forward) => forward.home === home).map((forward) => forward.request);
    requests.forEach((request) => this.remove(request));
    return requests;
  }

  /**
   * Cancels a forward: notifies the home VM that the caller has disconnected.
   * @param request - Request that was forwarded.
   */
  cancel(request: requestInProgress.RequestInProgress): void {
    const forward = this.forwards.get(this.forwardIds.get(request.requestId) ?? '');
    if (forward === undefined) return;
    const { forwardId, home } = forward;
    this.context.mailboxes.peers.post({ type: 'send', to: home, message: { type: 'operation-cancelled', forwardId } });
    this.remove(request);
  }

  /**
   * Removes a request that ended.
   * @param request - Request that was forwarded.
   */
  remove(request: requestInProgress.RequestInProgress): void {
    this.forwards.delete(this.forwardIds.get(request.requestId) ?? '');
    this.forwardIds.delete(request.requestId);
  }

  private send({ forwardId, home, request }: Forward): void {
    const deadlineMs = request.deadlineAtMs - this.context.timers.getNowMs();
    this.context.mailboxes.peers.post({
      type: 'send', to: home, message: { type: 'operation-forwarded', forwardId, request: { ...request.request, deadlineMs } },
    });
  }
}
