import * as tasks from '../tasks/index.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmContext from './VmContext.js';

/** Owns the view of the other VMs and the exchange with them. */
export class PeerTask extends tasks.Task<peerTaskMessage.PeerTaskMessage> {
  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vmContext.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: peerTaskMessage.PeerTaskMessage): void {
    if (message.type === 'status-requested') message.replyTo.post({ type: 'peer-status', peers: [], droppedMessages: 0 });
  }
}
