import type * as contracts from '../contracts/index.js';
import type * as vms from '../vms/index.js';
import type * as requestInProgress from './RequestInProgress.js';

/** Sends outcomes to callers and peers, and counts them. */
export class OutcomeReporter {
  private readonly counts: Record<contracts.Outcome['type'], number> = { answered: 0, 'not-run': 0, unknown: 0 };

  /** @param context - Dependencies shared by the tasks of this VM. */
  constructor(private readonly context: vms.VmContext) {}

  /**
   * Sends an outcome to the sender of a request, unless the sender has disconnected or has received an answer already.
   * @param request - Request that ended.
   * @param outcome - Outcome to send.
   */
  sendOutcome(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome): void {
    if (request.senderState !== 'waiting') return;
    request.markSenderState('answered');
    const { origin, requestId } = request;
    if (origin.type === 'caller') {
      this.context.outbox.post({ type: 'caller-answer', requestId, outcome });
      return;
    }
    this.context.mailboxes.peers.post({
      type: 'send', to: origin.from, message: { type: 'operation-ended', forwardId: origin.forwardId, outcome },
    });
  }

  /**
   * Counts the outcome of a request once, and only at the VM that its caller is connected to.
   * @param request - Request that ended or whose caller received an answer.
   * @param outcome - Type of the outcome.
   */
  countOutcome(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome['type']): void {
    if (request.evidence === 'posted' || request.origin.type === 'peer') return;
    request.markEvidencePosted();
    this.counts[outcome] += 1;
    if (request.requestClass === undefined) return;
    const { contract, kind, member } = request.requestClass;
    this.context.mailboxes.evidence.post({
      type: 'request-ended',
      member: member.name,
      service: contract.name,
      kind,
      outcome,
      latencyMs: this.context.timers.getNowMs() - request.arrivedAtMs,
    });
  }

  /** Gets the number of outcomes of each type. */
  getCounts(): Readonly<Record<contracts.Outcome['type'], number>> {
    return this.counts;
  }
}
