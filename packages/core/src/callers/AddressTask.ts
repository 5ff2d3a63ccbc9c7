import * as places from '../places/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as addressSelectionPolicy from './AddressSelectionPolicy.js';
import type * as addressMessage from './AddressMessage.js';

// Before a document is in force, any service name may be asked for.
const MAX_CACHED_FRONTING_SETS = 4_096;

/** Owns the choice of the VMs that callers of a service use. */
export class AddressTask extends tasks.Task<addressMessage.AddressMessage> {
  // Sizes of the fronting sets of the declared services.
  private services: ReadonlyMap<string, number> | undefined;

  private state: 'starting' | 'serving' | 'leaving' = 'starting';

  private peers: readonly vms.PeerView[] = [];

  // Fronting sets of the present view, computed when they are first asked for.
  private readonly frontingCache = new Map<string, readonly vms.VmIdentity[]>();

  // Queries that wait for the operation prefix of the ledger.
  private readonly pendingQueries = new Map<string, string>();

  private readonly frontingSet: places.FrontingSet;

  private readonly selectionPolicy: addressSelectionPolicy.AddressSelectionPolicy;

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
    this.frontingSet = context.rules.callers.createFrontingSet();
    this.selectionPolicy = context.rules.callers.createAddressSelectionPolicy(context.random);
  }

  /** @internal */
  override handle(message: addressMessage.AddressMessage): void {
    switch (message.type) {
      case 'query':
        this.handleQuery(message.queryId, message.service);
        break;
      case 'document-accepted':
        this.services = new Map(message.document.services.map((service) => (
          [service.name, places.FrontingSet.computeSize(service.floorInstances)] as const)));
        this.frontingCache.clear();
        break;
      case 'state-changed':
        this.state = message.state;
        this.frontingCache.clear();
        break;
      case 'view-changed':
        this.peers = message.peers;
        this.frontingCache.clear();
        break;
      case 'prefix':
        this.answerQuery(message.requestId, message.prefix);
        break;
      default:
        break;
    }
  }

  private handleQuery(queryId: string, service: string): void {
    if (this.services !== undefined && !this.services.has(service)) {
      this.context.outbox.post({ type: 'address-answer', queryId, answer: { type: 'unknown-service', service } });
      return;
    }
    this.pendingQueries.set(queryId, service);
    // Only a serving VM runs operations, so only it hands out its prefix.
    if (this.state === 'serving') this.context.mailboxes.ledger.post({ type: 'prefix-requested', requestId: queryId, replyTo: this });
    else this.answerQuery(queryId, undefined);
  }

  private answerQuery(queryId: string, operationPrefix: string | undefined): void {
    const service = this.pendingQueries.get(queryId);
    if (service === undefined) return;
    this.pendingQueries.delete(queryId);
    const members = this.listFrontingMembers(service);
    const addresses = this.selectionPolicy.chooseAddresses(members).map((member) => ({
      vm: member.name, host: member.host, port: member.port, place: member.place,
    }));
    this.context.outbox.post({
      type: 'address-answer',
      queryId,
      answer: addresses.length === 0 ? { type: 'not-ready' } : {
        type: 'addresses', service, addresses, validForMs: this.context.addressValidityMs, operationPrefix: this.isHomeFor(members) ? operationPrefix : undefined,
      },
    });
  }

  // Operations run at their home VM, so a VM outside the fronting set would send them to instances whose free slots it does not know.
  private isHomeFor(members: readonly vms.VmIdentity[]): boolean {
    return members.some((member) => member.name === this.context.identity.name);
  }

  private listFrontingMembers(service: string): readonly vms.VmIdentity[] {
    const cached = this.frontingCache.get(service);
    if (cached !== undefined) return cached;
    const usablePeers = this.peers.filter((peer) => this.selectionPolicy.isUsable(peer)).map((peer) => peer.identity);
    const usableVms = this.state === 'serving' ? [this.context.identity, ...usablePeers] : usablePeers;
    const members = this.frontingSet.chooseMembers(service, usableVms, this.services?.get(service));
    if (this.frontingCache.size < MAX_CACHED_FRONTING_SETS) this.frontingCache.set(service, members);
    return members;
  }
}
