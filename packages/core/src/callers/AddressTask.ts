import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as addressMessage from './AddressMessage.js';

/** Owns the choice of the VMs that callers of a service use. */
export class AddressTask extends tasks.Task<addressMessage.AddressMessage> {
  private document: contracts.DeploymentDocument | undefined;

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: addressMessage.AddressMessage): void {
    if (message.type === 'document-accepted') this.document = message.document;
    if (message.type === 'query') this.answerQuery(message.queryId, message.service);
  }

  private answerQuery(queryId: string, service: string): void {
    const { identity, outbox, addressValidityMs } = this.context;
    const declared = this.document?.services.some((contract) => contract.name === service);
    if (declared === undefined) {
      outbox.post({ type: 'address-answer', queryId, answer: { type: 'not-ready' } });
      return;
    }
    outbox.post({
      type: 'address-answer',
      queryId,
      answer: declared ? {
        type: 'addresses',
        service,
        addresses: [{
          vm: identity.name, host: identity.host, port: identity.port, place: identity.place,
        }],
        validForMs: addressValidityMs,
        operationPrefix: undefined,
      } : { type: 'unknown-service', service },
    });
  }
}
