import type * as contracts from '../contracts/index.js';
import type * as vms from '../vms/index.js';
import type * as requestInProgress from './RequestInProgress.js';

/** Sends outcomes to callers and peers and counts them. */
export class OutcomeReporter {
  private readonly counts: Record<contracts.Outcome['type'], number> = { answered: 0, 'not-run': 0, unknown: 0 };

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {}

  /**
   * Answers the sender of a request, unless it has gone or has its answer already.
   * @param request - Request that ended.
   * @param outcome - What the sender is told.
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
   * Counts the outcome of a request once, at the VM that its caller is connected to.
   * @param request - Request that ended or whose caller was answered.
   * @param outcome - Type of the outcome.
   */
  recordOutcome(request: requestInProgress.RequestInProgress, outcome: contracts.Outcome['type']): void {
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
