import * as places from '../places/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as addressMessage from './AddressMessage.js';
import type * as addressSelectionPolicy from './AddressSelectionPolicy.js';

// Bounds the cache of fronting sets: before a document is in force, queries may contain any service name.
const MAX_CACHED_FRONTING_SETS = 4_096;

/** Answers address queries with VMs of the fronting set of a service, which are the VMs to which its callers connect. */
export class AddressTask extends tasks.Task<addressMessage.AddressMessage> {
  // Size of the fronting set of each declared service; undefined before a document is in force.
  private services: ReadonlyMap<string, number> | undefined;

  private state: 'starting' | 'serving' | 'leaving' = 'starting';

  private peers: readonly vms.PeerView[] = [];

  // Cache of the fronting sets for the current view, by service.
  private readonly frontingCache = new Map<string, readonly vms.VmIdentity[]>();

  // Services of the queries that wait for the operation prefix from the ledger, by query id.
  private readonly pendingQueries = new Map<string, string>();

  private readonly frontingSet: places.FrontingSet;

  private readonly selectionPolicy: addressSelectionPolicy.AddressSelectionPolicy;

  /** @param context - Dependencies shared by the tasks of this VM. */
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
    // Operation ids with this prefix have this VM as their home, where they run. Only a serving VM runs operations.
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

  // An operation runs at its home VM, which the prefix of its id names. A VM outside the fronting set has no record of the free slots
  // of the instances, so it must not become the home of operations.
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
