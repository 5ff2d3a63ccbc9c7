import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as evidenceMessage from './EvidenceMessage.js';

/** Owns the counts and histograms of the service that each member received. */
export class EvidenceTask extends tasks.Task<evidenceMessage.EvidenceMessage> {
  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: evidenceMessage.EvidenceMessage): void {
    if (message.type === 'report-requested') message.replyTo.post({ type: 'member-report', queryId: message.queryId, report: undefined });
  }
}
