import type * as droppedMessageLog from './DroppedMessageLog.js';
import * as envelopeCheck from './EnvelopeCheck.js';
import type * as indirectProbeRelay from './IndirectProbeRelay.js';
import type * as partialView from './PartialView.js';
import type * as peerModule from './Peer.js';
import type * as peerActions from './PeerActions.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';

const MAX_SAMPLED_PEERS = 8;

/** Options of a `PeerInbox`. */
export interface PeerInboxOptions {
  readonly context: vmContext.VmContext;
  readonly view: partialView.PartialView;
  readonly droppedMessages: droppedMessageLog.DroppedMessageLog;
  readonly indirectProbes: indirectProbeRelay.IndirectProbeRelay;
  readonly owner: peerActions.PeerActions;
}

/** Handles the messages of peers for the `PeerTask`: validates them, updates the known peers and posts the content to other tasks. */
export class PeerInbox {
  private readonly envelopeCheck = new envelopeCheck.EnvelopeCheck();

  /** @param options - Parts of the `PeerTask`. */
  constructor(private readonly options: PeerInboxOptions) {}

  /**
   * Handles one envelope.
   * @param envelope - Envelope as delivered by the transport.
   */
  receive(envelope: peerMessage.PeerEnvelope): void {
    const { context, view, droppedMessages } = this.options;
    const fault = this.envelopeCheck.findFault(envelope);
    if (fault !== undefined) {
      droppedMessages.recordDrop(fault);
      return;
    }
    const { from, message } = envelope;
    const nowMs = context.timers.getNowMs();
    const peer = view.addPeer(from, nowMs);
    if (peer === undefined) {
      droppedMessages.recordDrop(from.name === context.identity.name ? 'the sender has the name of this VM' : 'the limit of known peers is reached');
      return;
    }
    if (this.resolveSender(peer, from, nowMs) === 'challenger') {
      this.handleContent(from, message);
      return;
    }
    const kind = message.type === 'exchange' ? 'exchange' : 'other';
    if (peer.recordMessage(envelope.sequence, kind, nowMs) !== 'accepted') return;
    this.options.indirectProbes.reportReached(from);
    this.updatePeer(peer, message);
    this.handleContent(from, message);
    this.options.owner.publishPeer(peer);
  }

  /**
   * Clears the ejections that a peer reported, so that they no longer count against the minimum number of instances in rotation.
   * @param peer - Peer that was replaced or is unreachable.
   */
  clearEjections(peer: peerModule.Peer): void {
    if (peer.ejections === 'none') return;
    // eslint-disable-next-line no-param-reassign -- the inbox updates the peers of the view that it was given
    peer.ejections = 'none';
    this.options.context.mailboxes.upstreams.post({ type: 'peer-ejections', from: peer.identity.name, notices: [] });
  }

  private resolveSender(peer: peerModule.Peer, from: vmIdentity.VmIdentity, nowMs: number): 'current' | 'challenger' {
    if (peer.identity.incarnation === from.incarnation) return 'current';
    // Without any earlier message, or while the peer is unreachable, there is no live incarnation that the new one could conflict with.
    const contested = peer.isIncarnationKnown() && peer.reachability.getState() !== 'unreachable';
    const decision = contested ? peer.incarnationPolicy.decide(from, nowMs) : 'replace';
    if (decision === 'replace') {
      peer.setIncarnation(from);
      this.clearEjections(peer);
      return 'current';
    }
    if (decision === 'probe-both') [peer.identity, from].forEach((identity) => this.options.owner.sendExchange(identity, 'request'));
    return 'challenger';
  }

  private updatePeer(peer: peerModule.Peer, message: peerMessage.PeerMessage): void {
    const nowMs = this.options.context.timers.getNowMs();
    if (message.type === 'leaving') peer.recordState('leaving', nowMs);
    if (message.type !== 'exchange') return;
    peer.recordState(message.state, nowMs);
    if (message.ejections.length > 0 || peer.ejections === 'some') {
      this.options.context.mailboxes.upstreams.post({ type: 'peer-ejections', from: peer.identity.name, notices: message.ejections });
    }
    // eslint-disable-next-line no-param-reassign -- the inbox updates the peers of the view that it was given
    peer.ejections = message.ejections.length > 0 ? 'some' : 'none';
  }

  // The content is valid even if the sender is not the current incarnation: documents are signed, drain notices contain the
  // incarnation of the instance, and operation ids contain the incarnation of the VM that may run the operation.
  private handleContent(from: vmIdentity.VmIdentity, message: peerMessage.PeerMessage): void {
    const { mailboxes } = this.options.context;
    switch (message.type) {
      case 'exchange':
        this.handleExchange(from, message);
        break;
      case 'drain':
        this.options.owner.recordDrains(message.notices, 'peer');
        break;
      case 'document-announced':
        mailboxes.configuration.post({
          type: 'peer-document', from: from.name, place: from.place, document: message.document, origin: 'unsolicited',
        });
        break;
      case 'document-requested':
        mailboxes.configuration.post({ type: 'peer-request', from: from.name });
        break;
      case 'document':
        mailboxes.configuration.post({ type: 'peer-text', from: from.name, text: message.text });
        break;
      case 'evidence-requested':
        mailboxes.upstreams.post({
          type: 'to-service',
          service: message.service,
          message: { type: 'evidence-requested', from: from.name, instances: message.instances },
        });
        break;
      case 'evidence':
        mailboxes.upstreams.post({
          type: 'to-service',
          service: message.service,
          message: {
            type: 'evidence-reported', from: from.name, place: from.place, rows: message.rows,
          },
        });
        break;
      case 'reach-requested':
        this.options.indirectProbes.beginProbe(from, message.target);
        break;
      case 'reach-reported':
        this.options.indirectProbes.applyReport(message);
        break;
      case 'operation-forwarded':
        mailboxes.requests.post({
          type: 'forwarded', from: from.name, forwardId: message.forwardId, request: message.request,
        });
        break;
      case 'operation-cancelled':
        mailboxes.requests.post({ type: 'forward-cancelled', from: from.name, forwardId: message.forwardId });
        break;
      case 'operation-ended':
        mailboxes.requests.post({
          type: 'forward-ended', from: from.name, forwardId: message.forwardId, outcome: message.outcome,
        });
        break;
      default:
        break;
    }
  }

  private handleExchange(from: vmIdentity.VmIdentity, message: peerMessage.PeerExchange): void {
    const { context, owner, indirectProbes } = this.options;
    if (message.drains.length > 0) owner.recordDrains(message.drains, 'peer');
    const nowMs = context.timers.getNowMs();
    message.peers.slice(0, MAX_SAMPLED_PEERS).forEach((identity) => indirectProbes.evaluateSample(identity, nowMs));
    context.mailboxes.configuration.post({
      type: 'peer-document',
      from: from.name,
      place: from.place,
      document: message.document,
      origin: message.direction === 'reply' ? 'reply' : 'unsolicited',
    });
    if (message.direction === 'request') owner.sendExchange(from, 'reply');
  }
}
