import type * as contracts from '../contracts/index.js';
import * as places from '../places/index.js';
import type * as partialView from './PartialView.js';
import type * as peerModule from './Peer.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmContext from './VmContext.js';

/** Publishes the peer view to the tasks that select VMs, only when it has changed. */
export class ViewPublisher {
  private published: readonly peerTaskMessage.PeerView[] = [];

  private readonly frontingSets = new Map<string, readonly places.FrontingCandidate[]>();

  // Sizes of the fronting sets of the declared services.
  private frontingSetSizes: ReadonlyMap<string, number> = new Map();

  private readonly frontingSet: places.FrontingSet;

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vmContext.VmContext) {
    this.frontingSet = context.rules.callers.createFrontingSet();
  }

  /**
   * Applies the service declarations of a document.
   * @param document - Document in force.
   */
  applyDocument(document: contracts.DeploymentDocument): void {
    this.frontingSetSizes = new Map(document.services
      .map((service) => [service.name, places.FrontingSet.computeSize(service.floorInstances)]));
    this.frontingSets.clear();
  }

  /** Gets the view that was published last. */
  getPublished(): readonly peerTaskMessage.PeerView[] {
    return this.published;
  }

  /**
   * Publishes the view if a peer was added, removed or changed.
   * @param view - Known peers.
   * @param nowMs - Current time in milliseconds.
   */
  publishChanges(view: partialView.PartialView, nowMs: number): 'changed' | 'unchanged' {
    const peers = view.listPeers();
    const changed = peers.filter((peer) => ViewPublisher.updatePublished(peer, nowMs) === 'changed');
    if (changed.length === 0 && peers.length === this.published.length) return 'unchanged';
    this.published = peers.flatMap((peer) => peer.publishedView ?? []);
    this.frontingSets.clear();
    this.context.mailboxes.addresses.post({ type: 'view-changed', peers: this.published });
    return 'changed';
  }

  /**
   * Lists the fronting set of a service: the VMs whose addresses callers of the service receive. May include this VM.
   * @param service - Name of the service.
   */
  listFronting(service: string): readonly places.FrontingCandidate[] {
    const cached = this.frontingSets.get(service);
    if (cached !== undefined) return cached;
    const usable = this.published.filter((peer) => peer.state === 'reachable').map((peer) => peer.identity);
    const candidates: readonly places.FrontingCandidate[] = [this.context.identity, ...usable];
    const members = this.frontingSet.chooseMembers(service, candidates, this.frontingSetSizes.get(service));
    this.frontingSets.set(service, members);
    return members;
  }

  /**
   * Whether a peer differs from its published view.
   * @param peer - Known peer.
   * @param nowMs - Current time in milliseconds.
   */
  static isChanged(peer: peerModule.Peer, nowMs: number): boolean {
    return peer.publishedView?.state !== peer.computeState(nowMs) || peer.publishedView.identity !== peer.identity;
  }

  private static updatePublished(peer: peerModule.Peer, nowMs: number): 'changed' | 'unchanged' {
    if (!ViewPublisher.isChanged(peer, nowMs)) return 'unchanged';
    // eslint-disable-next-line no-param-reassign -- the peer holds its published view, so that changes are detected without a second map
    peer.publishedView = { identity: peer.identity, state: peer.computeState(nowMs) };
    return 'changed';
  }
}
