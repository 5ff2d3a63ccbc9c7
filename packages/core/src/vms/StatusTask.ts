import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as lifecycleTask from './LifecycleTask.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmContext from './VmContext.js';

/** Message to the `StatusTask`. */
export type StatusMessage =
  | { readonly type: 'query'; readonly queryId: string }
  | contracts.ConfigurationStatus
  | contracts.LedgerStatus
  | peerTaskMessage.PeerStatus
  | upstreams.UpstreamDirectoryStatus
  | callers.RequestStatus;

/** Options of a `StatusTask`. */
export interface StatusTaskOptions {
  readonly context: vmContext.VmContext;
  readonly lifecycle: lifecycleTask.LifecycleTask;
}

/** Collects the state of the other tasks for the status page. */
export class StatusTask extends tasks.Task<StatusMessage> {
  private readonly options: StatusTaskOptions;

  private waiting: string[] = [];

  private configuration: contracts.ConfigurationStatus | undefined;

  private operations: contracts.LedgerStatus | undefined;

  private peers: peerTaskMessage.PeerStatus | undefined;

  private upstreamStatus: upstreams.UpstreamDirectoryStatus | undefined;

  /** @param options - Shared context, and the lifecycle task whose state is reported. */
  constructor(options: StatusTaskOptions) {
    super(options.context.scheduler);
    this.options = options;
  }

  /** @internal */
  override handle(message: StatusMessage): void {
    switch (message.type) {
      case 'query':
        this.waiting.push(message.queryId);
        this.requestParts();
        break;
      case 'configuration-status':
        this.configuration = message;
        break;
      case 'ledger-status':
        this.operations = message;
        break;
      case 'peer-status':
        this.peers = message;
        break;
      case 'upstream-directory-status':
        this.upstreamStatus = message;
        break;
      case 'request-status':
        this.answerQueries(message);
        break;
      // no default
    }
  }

  // Messages are delivered in order, so the reply of the task that receives the last request completes the set.
  private requestParts(): void {
    const { mailboxes } = this.options.context;
    const request = { type: 'status-requested', replyTo: this } as const;
    mailboxes.configuration.post(request);
    mailboxes.ledger.post(request);
    mailboxes.peers.post(request);
    mailboxes.upstreams.post(request);
    mailboxes.requests.post(request);
  }

  private answerQueries(requests: callers.RequestStatus): void {
    const {
      configuration, operations, peers, upstreamStatus,
    } = this;
    if (configuration === undefined || operations === undefined || peers === undefined || upstreamStatus === undefined) return;
    const { context, lifecycle } = this.options;
    this.waiting.forEach((queryId) => context.outbox.post({
      type: 'status-answer',
      queryId,
      status: {
        identity: context.identity,
        state: lifecycle.getState(),
        configuration,
        peers,
        upstreams: upstreamStatus.upstreams,
        operations,
        requests,
      },
    }));
    this.waiting = [];
  }
}
