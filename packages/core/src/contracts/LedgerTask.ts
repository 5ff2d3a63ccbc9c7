import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as ledgerMessage from './LedgerMessage.js';
import type * as operationEpochs from './OperationEpochs.js';
import * as operationId from './OperationId.js';
import type * as operationLedger from './OperationLedger.js';
import type * as outcome from './Outcome.js';

const PRUNE_PERIOD_MS = 60_000;

/** Owns the record of the operations whose home is this incarnation of the VM, which alone may run them. */
export class LedgerTask extends tasks.Task<ledgerMessage.LedgerMessage> {
  private readonly epochs: operationEpochs.OperationEpochs;

  private readonly ledger: operationLedger.OperationLedger;

  private issuing: 'issuing' | 'stopping' = 'issuing';

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
    this.epochs = context.rules.contracts.createEpochs(context.timers.getNowMs());
    this.ledger = context.rules.contracts.createLedger(this.epochs);
    context.timers.subscribe({
      mailbox: this, message: { type: 'tick' }, delayMs: PRUNE_PERIOD_MS, periodMs: PRUNE_PERIOD_MS,
    });
  }

  /** @internal */
  override handle(message: ledgerMessage.LedgerMessage): void {
    switch (message.type) {
      case 'begin':
        message.replyTo.post(this.decide(message));
        break;
      case 'finish':
        this.finish(message.operationId, message.outcome);
        break;
      case 'leave': {
        const id = this.parseOwn(message.operationId);
        if (id !== undefined) this.ledger.removeWaiter(id, message.requestId);
        break;
      }
      case 'prefix-requested':
        message.replyTo.post({ type: 'prefix', requestId: message.requestId, prefix: this.buildPrefix() });
        break;
      case 'stop-issuing':
        this.issuing = 'stopping';
        break;
      case 'status-requested':
        message.replyTo.post(this.buildStatus());
        break;
      case 'tick':
        this.ledger.prune(this.context.timers.getNowMs());
        break;
      // no default
    }
  }

  private decide(message: Extract<ledgerMessage.LedgerMessage, { type: 'begin' }>): ledgerMessage.LedgerReply {
    const { requestId, replyTo } = message;
    const { identity, timers } = this.context;
    const id = operationId.OperationId.parse(message.operationId);
    // An invalid id contains no home VM, so no VM ever runs the operation.
    if (id === undefined) {
      return { type: 'settled', requestId, outcome: { type: 'not-run', reason: 'operation-id-invalid', retryAfterMs: 0 } };
    }
    if (id.vm !== identity.name && message.origin === 'caller') return { type: 'forward', requestId, home: id.vm };
    if (id.vm !== identity.name || id.incarnation !== identity.incarnation) {
      return { type: 'settled', requestId, outcome: { type: 'unknown', reason: 'home-gone' } };
    }
    const decision = this.ledger.begin(id, message.digest, { requestId, replyTo }, timers.getNowMs());
    return { ...decision, requestId };
  }

  private finish(text: string, ended: outcome.Outcome): void {
    const id = this.parseOwn(text);
    if (id === undefined) return;
    this.ledger.finish(id, ended, this.context.timers.getNowMs())
      .forEach((waiter) => waiter.replyTo.post({ type: 'settled', requestId: waiter.requestId, outcome: ended }));
  }

  private parseOwn(text: string): operationId.OperationId | undefined {
    const id = operationId.OperationId.parse(text);
    return id?.vm === this.context.identity.name && id.incarnation === this.context.identity.incarnation ? id : undefined;
  }

  private buildPrefix(): string | undefined {
    const { identity, timers } = this.context;
    const nowMs = timers.getNowMs();
    this.ledger.prune(nowMs);
    if (this.issuing === 'stopping' || !this.ledger.canIssue()) return undefined;
    return operationId.OperationId.formatPrefix(identity.name, identity.incarnation, this.epochs.computeCurrent(nowMs));
  }

  private buildStatus(): ledgerMessage.LedgerStatus {
    const issuing = this.ledger.canIssue() ? this.issuing : 'full';
    return {
      type: 'ledger-status',
      entries: this.ledger.countEntries(),
      running: this.ledger.countRunning(),
      epoch: this.epochs.computeCurrent(this.context.timers.getNowMs()),
      issuing: this.issuing === 'stopping' ? 'stopping' : issuing,
    };
  }
}
