import type * as upstreams from '../upstreams/index.js';
import type * as dropLog from './DropLog.js';
import * as envelopeCheck from './EnvelopeCheck.js';
import type * as partialView from './PartialView.js';
import type * as peerModule from './Peer.js';
import type * as peerMessage from './PeerMessage.js';
import type * as reachRelay from './ReachRelay.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';

const SAMPLE_LIMIT = 8;

const SAMPLE_RETRY_MS = 5_000;

const RECENT_CONTACT_MS = 2_000;

/** What the inbox asks of the `PeerTask` that owns it. */
export interface PeerInboxOwner {
  /**
   * Sends an exchange to a peer and records that the peer owes an answer.
   * @param peer - Peer to ask.
   */
  requestExchange(peer: peerModule.Peer): void;

  /**
   * Sends an exchange without recording it.
   * @param to - Receiver.
   * @param direction - Whether an exchange is asked for in return.
   */
  sendExchange(to: vmIdentity.VmIdentity, direction: 'request' | 'reply'): void;

  /**
   * Sends any message to a VM.
   * @param to - Receiver.
   * @param message - Message to send.
   */
  sendMessage(to: vmIdentity.VmIdentity, message: peerMessage.PeerMessage): void;

  /**
   * Records drain notices, and passes on those that are new.
   * @param notices - Notices that were learned.
   * @param source - Whether an upstream of this VM or a peer gave them.
   */
  recordDrains(notices: readonly upstreams.DrainNotice[], source: 'own' | 'peer'): void;

  /**
   * Publishes the view if a peer has changed.
   * @param peer - Peer that may have changed.
   */
  publishPeer(peer: peerModule.Peer): void;
}

/** Options of a `PeerInbox`. */
export interface PeerInboxOptions {
  readonly context: vmContext.VmContext;
  readonly view: partialView.PartialView;
  readonly drops: dropLog.DropLog;
  readonly reach: reachRelay.ReachRelay;
  readonly owner: PeerInboxOwner;
}

/** Receives the messages of peers for the `PeerTask`: checks them, updates the view and passes them on. */
export class PeerInbox {
  private readonly check = new envelopeCheck.EnvelopeCheck();

  /** @param options - Parts of the `PeerTask`. */
  constructor(private readonly options: PeerInboxOptions) {}

  /**
   * Handles one envelope.
   * @param envelope - Envelope as the transport delivered it.
   */
  receive(envelope: peerMessage.PeerEnvelope): void {
    const { context, view, drops } = this.options;
    const fault = this.check.findFault(envelope);
    if (fault !== undefined) {
      drops.recordDrop(fault);
      return;
    }
    const { from, message } = envelope;
    const nowMs = context.timers.getNowMs();
    const peer = view.addPeer(from, nowMs);
    if (peer === undefined) {
      drops.recordDrop(from.name === context.identity.name ? 'the sender has the name of this VM' : 'the directory is full');
      return;
    }
    if (this.resolveSender(peer, from, nowMs) === 'challenger') {
      this.handleContent(from, message);
      return;
    }
    const kind = message.type === 'exchange' ? 'exchange' : 'other';
    if (peer.recordHeard(envelope.sequence, kind, nowMs) !== 'fresh') return;
    this.options.reach.takeReached(from).forEach((report) => this.reportReach(report));
    this.updatePeer(peer, message);
    this.handleContent(from, message);
    this.options.owner.publishPeer(peer);
  }

  /**
   * Reports the result of a check to the peer that asked for it.
   * @param report - Result of the check.
   */
  reportReach(report: reachRelay.ReachReport): void {
    const asker = this.options.view.findPeer(report.asker);
    if (asker === undefined) return;
    const { name, incarnation } = report.target;
    this.options.owner.sendMessage(asker.identity, {
      type: 'reach-reported', target: name, incarnation, result: report.result,
    });
  }

  /**
   * Clears the ejections of a peer that is gone, so that they no longer count against the floor.
   * @param peer - Peer that was replaced or is unreachable.
   */
  clearEjections(peer: peerModule.Peer): void {
    if (peer.ejections === 'none') return;
    // eslint-disable-next-line no-param-reassign -- the inbox updates the peers of the view that it was given
    peer.ejections = 'none';
    this.options.context.mailboxes.upstreams.post({ type: 'peer-ejections', from: peer.identity.name, notices: [] });
  }

  private resolveSender(peer: peerModule.Peer, from: vmIdentity.VmIdentity, nowMs: number): 'present' | 'challenger' {
    if (peer.identity.incarnation === from.incarnation) return 'present';
    // A peer that was never heard, or that nobody reaches, has no incarnation that could contest the new one.
    const contested = peer.isHeard() && peer.reachability.getState() !== 'unreachable';
    const decision = contested ? peer.incarnations.decide(from, nowMs) : 'replace';
    if (decision === 'replace') {
      peer.setIncarnation(from);
      this.clearEjections(peer);
      return 'present';
    }
    if (decision === 'ask-both') [peer.identity, from].forEach((identity) => this.options.owner.sendExchange(identity, 'request'));
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

  // Content stands for itself: documents are sealed, drain notices name incarnations, operations name their home.
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
          type: 'peer-document', from: from.name, place: from.place, document: message.document, way: 'news',
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
        this.beginCheck(from, message.target);
        break;
      case 'reach-reported':
        this.applyReport(message);
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
    const { context, owner } = this.options;
    if (message.drains.length > 0) owner.recordDrains(message.drains, 'peer');
    const nowMs = context.timers.getNowMs();
    message.peers.slice(0, SAMPLE_LIMIT).forEach((identity) => this.evaluateSample(identity, nowMs));
    context.mailboxes.configuration.post({
      type: 'peer-document',
      from: from.name,
      place: from.place,
      document: message.document,
      way: message.direction === 'reply' ? 'answer' : 'news',
    });
    if (message.direction === 'request') owner.sendExchange(from, 'reply');
  }

  // Another VM has heard the sampled peer lately, so one that is unreachable here is worth a question at once.
  private evaluateSample(identity: vmIdentity.VmIdentity, nowMs: number): void {
    const peer = this.options.view.addPeer({ ...identity, incarnation: '' }, nowMs);
    if (peer?.reachability.getState() !== 'unreachable' || nowMs - peer.lastAskedMs < SAMPLE_RETRY_MS) return;
    this.options.owner.requestExchange(peer);
  }

  private beginCheck(from: vmIdentity.VmIdentity, target: vmIdentity.VmIdentity): void {
    const { context, view, owner } = this.options;
    if (target.name === context.identity.name) {
      this.reportReach({ asker: from.name, target: context.identity, result: 'reached' });
      return;
    }
    const nowMs = context.timers.getNowMs();
    const known = view.findPeer(target.name);
    const result = known?.getRecentResult(nowMs);
    if (known !== undefined && result !== undefined) {
      this.reportReach({ asker: from.name, target: known.identity, result });
      return;
    }
    this.options.reach.addCheck(from.name, target, nowMs);
    if (known === undefined) {
      owner.sendExchange(target, 'request');
      return;
    }
    // Only active peers are asked again and evaluated.
    view.addActive(known);
    owner.requestExchange(known);
  }

  private applyReport(report: Extract<peerMessage.PeerMessage, { type: 'reach-reported' }>): void {
    const peer = this.options.view.findPeer(report.target);
    if (peer === undefined || (peer.isHeard() && peer.identity.incarnation !== report.incarnation)) return;
    const nowMs = this.options.context.timers.getNowMs();
    // Another VM gave the peer up; this VM makes its own check instead of waiting until the peer's turn comes.
    if (report.result === 'silent' && nowMs - peer.lastHeardMs > RECENT_CONTACT_MS) {
      this.options.view.addActive(peer);
      if (!peer.reachability.isAwaited()) this.options.owner.requestExchange(peer);
    }
    peer.reachability.recordReport(report.result, nowMs);
    this.options.owner.publishPeer(peer);
  }
}
