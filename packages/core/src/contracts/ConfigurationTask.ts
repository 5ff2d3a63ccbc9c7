import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as configurationMessage from './ConfigurationMessage.js';
import type * as deploymentDocument from './DeploymentDocument.js';
import type * as documentFailure from './DocumentFailure.js';

/** Owns the document in force and decides which published documents are accepted. */
export class ConfigurationTask extends tasks.Task<configurationMessage.ConfigurationMessage> {
  private document: deploymentDocument.DeploymentDocument | undefined;

  private refusal: documentFailure.DocumentFailure | undefined;

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: configurationMessage.ConfigurationMessage): void {
    switch (message.type) {
      case 'published':
        this.context.codec.decode(message.text).match(
          (document) => this.accept(document),
          (failure) => {
            this.refusal = failure;
          },
        );
        break;
      case 'status-requested':
        message.replyTo.post({
          type: 'configuration-status',
          document: this.document?.reference,
          waitingFor: this.document === undefined ? 'a document' : '',
          platform: 'unread',
          refusal: this.refusal,
          conflicts: [],
        });
        break;
      default:
        break;
    }
  }

  private accept(document: deploymentDocument.DeploymentDocument): void {
    this.document = document;
    const { mailboxes, outbox } = this.context;
    const accepted = { type: 'document-accepted', document } as const;
    mailboxes.upstreams.post(accepted);
    mailboxes.requests.post(accepted);
    mailboxes.addresses.post(accepted);
    mailboxes.evidence.post(accepted);
    mailboxes.peers.post(accepted);
    mailboxes.lifecycle.post(accepted);
    outbox.post({ type: 'document-accepted', reference: document.reference, members: document.members });
  }
}
