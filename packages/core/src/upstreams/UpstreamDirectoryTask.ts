import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as upstreamDirectoryMessage from './UpstreamDirectoryMessage.js';
import type * as upstreamMessage from './UpstreamMessage.js';
import * as upstreamTask from './UpstreamTask.js';

const UNDECLARED_DRAINS_MAX = 4_096;

function buildDrainKey(notice: drainNotice.DrainNotice): string {
  return `${notice.service}\n${notice.instance}\n${notice.incarnation}`;
}

/** Creates and stops one `UpstreamTask` for each service of the configuration document in force, and forwards messages to them. */
export class UpstreamDirectoryTask extends tasks.Task<upstreamDirectoryMessage.UpstreamDirectoryMessage> {
  // Tasks by the name of their service.
  private readonly upstreams = new Map<string, upstreamTask.UpstreamTask>();

  // Drain notices of services that the document in force does not declare.
  private undeclaredDrains: readonly drainNotice.DrainNotice[] = [];

  // Names of the services with ejections in the latest report of each peer, by the name of the peer.
  private readonly ejectingPeers = new Map<string, ReadonlySet<string>>();

  private health: 'good' | 'late' = 'good';

  // Latest list of the instances of all services, kept for services that a later document adds.
  private entries: readonly vms.UpstreamListEntry[] = [];

  /** @param context - Dependencies of the tasks of the VM. */
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
        this.applyDrains(message.notices);
        break;
      case 'peer-ejections':
        this.applyPeerEjections(message);
        break;
      case 'local-health':
        this.health = message.health;
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
      this.addUndeclaredDrains(this.upstreams.get(name)?.listDrains() ?? []);
      this.upstreams.get(name)?.stop();
      this.upstreams.delete(name);
    });
    accepted.document.services.forEach((contract) => {
      const existing = this.upstreams.get(contract.name);
      if (existing !== undefined) {
        existing.post({ type: 'contract', contract });
        return;
      }
      this.upstreams.set(contract.name, new upstreamTask.UpstreamTask({ context: this.context, contract }));
      const drains = this.undeclaredDrains.filter((notice) => notice.service === contract.name);
      this.undeclaredDrains = this.undeclaredDrains.filter((notice) => notice.service !== contract.name);
      if (drains.length > 0) this.deliver(contract.name, { type: 'drain', notices: drains });
      if (this.health === 'late') this.deliver(contract.name, { type: 'local-health', health: this.health });
      this.deliverList(contract.name);
    });
  }

  private applyDrains(notices: readonly drainNotice.DrainNotice[]): void {
    [...new Set(notices.map((notice) => notice.service))].forEach((service) => {
      const drains = notices.filter((notice) => notice.service === service);
      if (this.upstreams.has(service)) this.deliver(service, { type: 'drain', notices: drains });
      else this.addUndeclaredDrains(drains);
    });
  }

  private addUndeclaredDrains(notices: readonly drainNotice.DrainNotice[]): void {
    const existing = new Set(this.undeclaredDrains.map(buildDrainKey));
    this.undeclaredDrains = [...this.undeclaredDrains, ...notices.filter((notice) => !existing.has(buildDrainKey(notice)))]
      .slice(-UNDECLARED_DRAINS_MAX);
  }

  // A report contains only services with ejections. The task of a service that was in the previous report, but is not in this one,
  // gets an empty list.
  private applyPeerEjections(report: Extract<upstreamDirectoryMessage.UpstreamDirectoryMessage, { type: 'peer-ejections' }>): void {
    const { from, notices } = report;
    const services = new Set(notices.filter((notice) => notice.instances.length > 0).map((notice) => notice.service));
    new Set([...services, ...this.ejectingPeers.get(from) ?? []]).forEach((service) => this.deliver(service, {
      type: 'peer-ejections', from, instances: notices.filter((notice) => notice.service === service).flatMap((notice) => notice.instances),
    }));
    if (services.size === 0) this.ejectingPeers.delete(from);
    else this.ejectingPeers.set(from, services);
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
