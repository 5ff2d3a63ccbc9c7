import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as upstreamDirectoryMessage from './UpstreamDirectoryMessage.js';
import type * as upstreamMessage from './UpstreamMessage.js';
import * as upstreamTask from './UpstreamTask.js';

/** Owns one `UpstreamTask` for each service of the document in force. */
export class UpstreamDirectoryTask extends tasks.Task<upstreamDirectoryMessage.UpstreamDirectoryMessage> {
  private readonly upstreams = new Map<string, upstreamTask.UpstreamTask>();

  // Latest list, for services that a later document adds.
  private entries: readonly vms.UpstreamListEntry[] = [];

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
  }

  /** @internal */
  override handle(message: upstreamDirectoryMessage.UpstreamDirectoryMessage): void {
    switch (message.type) {
      case 'document-accepted':
        this.applyContracts(message);
        break;
      case 'to-service':
        this.deliver(message.service, message.message);
        break;
      case 'list':
        this.entries = message.entries;
        this.upstreams.forEach((_, service) => this.deliverList(service));
        break;
      case 'drain':
        this.upstreams.forEach((upstream, service) => {
          const notices = message.notices.filter((notice) => notice.service === service);
          if (notices.length > 0) upstream.post({ type: 'drain', notices });
        });
        break;
      case 'peer-ejections':
        this.upstreams.forEach((upstream, service) => {
          const instances = message.notices.filter((notice) => notice.service === service).flatMap((notice) => notice.instances);
          upstream.post({ type: 'peer-ejections', from: message.from, instances });
        });
        break;
      case 'local-health':
        this.upstreams.forEach((upstream) => upstream.post(message));
        break;
      case 'status-requested':
        message.replyTo.post({
          type: 'upstream-directory-status',
          upstreams: [...this.upstreams.values()].map((upstream) => upstream.getStatus()),
        });
        break;
      // no default
    }
  }

  private applyContracts(accepted: contracts.DocumentAccepted): void {
    const names = new Set(accepted.document.services.map((service) => service.name));
    [...this.upstreams.keys()].filter((name) => !names.has(name)).forEach((name) => {
      this.upstreams.get(name)?.stop();
      this.upstreams.delete(name);
    });
    accepted.document.services.forEach((contract) => {
      const known = this.upstreams.get(contract.name);
      if (known !== undefined) {
        known.post({ type: 'contract', contract });
        return;
      }
      this.upstreams.set(contract.name, new upstreamTask.UpstreamTask({ context: this.context, contract }));
      this.deliverList(contract.name);
    });
  }

  private deliverList(service: string): void {
    this.deliver(service, { type: 'list', entries: this.entries.filter((entry) => entry.service === service) });
  }

  private deliver(service: string, message: upstreamMessage.UpstreamMessage): void {
    const upstream = this.upstreams.get(service);
    if (upstream !== undefined) upstream.post(message);
    else if (message.type === 'acquire') message.replyTo.post({ type: 'unavailable', attemptId: message.attemptId, cause: 'none' });
  }
}
