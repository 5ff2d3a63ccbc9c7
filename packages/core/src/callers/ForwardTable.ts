import type * as vms from '../vms/index.js';
import type * as requestInProgress from './RequestInProgress.js';

interface Forward {
  readonly forwardId: string;
  readonly home: string;
  readonly request: requestInProgress.RequestInProgress;
}

/** Operations that this VM handed over to their home VMs. */
export class ForwardTable {
  private readonly forwards = new Map<string, Forward>();

  private readonly forwardIds = new Map<string, string>();

  private nextForwardNumber = 0;

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {}

  /**
   * Hands a request over to its home VM with the time that is left.
   * @param request - Request with an operation id.
   * @param home - Name of the home VM.
   */
  forward(request: requestInProgress.RequestInProgress, home: string): void {
    // The incarnation keeps a late answer to an earlier run of this VM from matching.
    const forwardId = `${this.context.identity.incarnation}.${this.nextForwardNumber}`;
    this.nextForwardNumber += 1;
    this.forwards.set(forwardId, { forwardId, home, request });
    this.forwardIds.set(request.requestId, forwardId);
    this.send({ forwardId, home, request });
  }

  /**
   * Hands a request over once more under the same id.
   * @param request - Request that was handed over.
   */
  retry(request: requestInProgress.RequestInProgress): void {
    const forward = this.forwards.get(this.forwardIds.get(request.requestId) ?? '');
    if (forward !== undefined) this.send(forward);
  }

  /**
   * Takes the request that a message of a peer answers; undefined if it answers none, or if another VM was asked.
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
   * Takes all requests that were handed over to a VM.
   * @param home - Name of the VM.
   */
  takeAll(home: string): readonly requestInProgress.RequestInProgress[] {
    const requests = [...this.forwards.values()].filter((forward) => forward.home === home).map((forward) => forward.request);
    requests.forEach((request) => this.remove(request));
    return requests;
  }

  /**
   * Tells the home VM that the caller of a request has gone.
   * @param request - Request that was handed over.
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
   * @param request - Request that was handed over.
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
