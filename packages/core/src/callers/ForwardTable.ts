import type * as vms from '../vms/index.js';
import type * as requestInProgress from './RequestInProgress.js';

interface ForwardedOperation {
  readonly forwardId: string;
  readonly homeVm: string;
  readonly request: requestInProgress.RequestInProgress;
}

/**
 * Operations that this VM forwarded to their home VMs and that have no outcome yet. Each operation has one home VM, named in its id;
 * only that VM runs it.
 */
export class ForwardTable {
  private readonly forwardedOperations = new Map<string, ForwardedOperation>();

  private readonly forwardIdsByRequestId = new Map<string, string>();

  private nextForwardNumber = 0;

  /** @param context - Dependencies shared by the tasks of this VM. */
  constructor(private readonly context: vms.VmContext) {}

  /**
   * Forwards a request to its home VM with the remaining time to its deadline.
   * @param request - Request with an operation id.
   * @param homeVm - Name of the home VM.
   */
  forward(request: requestInProgress.RequestInProgress, homeVm: string): void {
    // The id includes the incarnation, so that a late answer to a previous process of this VM is ignored.
    const forwardId = `${this.context.identity.incarnation}.${this.nextForwardNumber}`;
    this.nextForwardNumber += 1;
    this.forwardedOperations.set(forwardId, { forwardId, homeVm, request });
    this.forwardIdsByRequestId.set(request.requestId, forwardId);
    this.send({ forwardId, homeVm, request });
  }

  /**
   * Forwards a request again under the same id.
   * @param request - Request that was forwarded.
   */
  sendAgain(request: requestInProgress.RequestInProgress): void {
    const operation = this.forwardedOperations.get(this.forwardIdsByRequestId.get(request.requestId) ?? '');
    if (operation !== undefined) this.send(operation);
  }

  /**
   * Removes and returns the forwarded request that a VM answered; undefined if no request with this id was forwarded to that VM.
   * @param from - Name of the VM that answered.
   * @param forwardId - Id under which the request was forwarded.
   */
  take(from: string, forwardId: string): requestInProgress.RequestInProgress | undefined {
    const operation = this.forwardedOperations.get(forwardId);
    if (operation?.homeVm !== from) return undefined;
    this.remove(operation.request);
    return operation.request;
  }

  /**
   * Removes and returns all requests that were forwarded to a home VM.
   * @param homeVm - Name of the home VM.
   */
  takeAll(homeVm: string): readonly requestInProgress.RequestInProgress[] {
    const requests = [...this.forwardedOperations.values()]
      .filter((operation) => operation.homeVm === homeVm).map((operation) => operation.request);
    requests.forEach((request) => this.remove(request));
    return requests;
  }

  /**
   * Removes a forwarded request and notifies the home VM that the caller has disconnected.
   * @param request - Request that was forwarded.
   */
  cancel(request: requestInProgress.RequestInProgress): void {
    const operation = this.forwardedOperations.get(this.forwardIdsByRequestId.get(request.requestId) ?? '');
    if (operation === undefined) return;
    const { forwardId, homeVm } = operation;
    this.context.mailboxes.peers.post({ type: 'send', to: homeVm, message: { type: 'operation-cancelled', forwardId } });
    this.remove(request);
  }

  /**
   * Removes a forwarded request, if present.
   * @param request - Request that was forwarded.
   */
  remove(request: requestInProgress.RequestInProgress): void {
    this.forwardedOperations.delete(this.forwardIdsByRequestId.get(request.requestId) ?? '');
    this.forwardIdsByRequestId.delete(request.requestId);
  }

  private send({ forwardId, homeVm, request }: ForwardedOperation): void {
    const remainingMs = request.deadlineAtMs - this.context.timers.getNowMs();
    this.context.mailboxes.peers.post({
      type: 'send', to: homeVm, message: { type: 'operation-forwarded', forwardId, request: { ...request.callerRequest, deadlineMs: remainingMs } },
    });
  }
}
