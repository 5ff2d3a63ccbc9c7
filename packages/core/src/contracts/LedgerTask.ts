import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as ledgerMessage from './LedgerMessage.js';

/** Owns the record of the operations whose home is this incarnation of the VM. */
export class LedgerTask extends tasks.Task<ledgerMessage.LedgerMessage> {
  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: ledgerMessage.LedgerMessage): void {
    switch (message.type) {
      case 'begin':
        message.replyTo.post({ type: 'settled', requestId: message.requestId, outcome: { type: 'unknown', reason: 'home-gone' } });
        break;
      case 'prefix-requested':
        message.replyTo.post({ type: 'prefix', requestId: message.requestId, prefix: undefined });
        break;
      case 'status-requested':
        message.replyTo.post({
          type: 'ledger-status', entries: 0, running: 0, epoch: 0, issuing: 'stopping',
        });
        break;
      default:
        break;
    }
  }
}
