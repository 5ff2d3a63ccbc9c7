import * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as drainNoticeStore from './DrainNoticeStore.js';
import * as droppedMessageLog from './DroppedMessageLog.js';
import * as exchangeBuilder from './ExchangeBuilder.js';
import * as exchangeSchedule from './ExchangeSchedule.js';
import * as indirectProbeRelay from './IndirectProbeRelay.js';
import * as leavingAnnouncer from './LeavingAnnouncer.js';
import * as partialView from './PartialView.js';
import type * as peerModule from './Peer.js';
import type * as peerActions from './PeerActions.js';
import * as peerInbox from './PeerInbox.js';
import type * as peerMessage from './PeerMessage.js';
import * as peerSender from './PeerSender.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import * as platformModeSelector from './PlatformModeSelector.js';
import * as reachabilityMonitor from './ReachabilityMonitor.js';
import * as viewPublisher from './ViewPublisher.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';

const TICK_PERIOD_MS = 1_000;

// A longer interval between two ticks means that the process was paused. Replies of peers may have been lost in that time.
const PAUSE_THRESHOLD_MS = 3_000;

const ROTATION_PERIOD_TICKS = 2;

// The platform's list usually arrives within milliseconds; after this number of ticks the seed peers are used instead.
const SEED_FALLBACK_TICKS = 3;

// Number of active peers that a drain notice received from a peer is forwarded to.
const DRAIN_RELAY_FANOUT = 8;

/** Owns the view of the other VMs and the communication with them. */
export class PeerTask extends tasks.Task<peerTaskMessage.PeerTaskMessage> implements peerActions.PeerActions {
  private readonly view: partialView.PartialView;

  private readonly sender: peerSender.PeerSender;

  private readonly inbox: peerInbox.PeerInbox;

  private readonly droppedMessages: droppedMessageLog.DroppedMessageLog;

  private readonly drainNotices: drainNoticeStore.DrainNoticeStore;

  private readonly indirectProbes: indirectProbeRelay.IndirectProbeRelay;

  private readonly schedule: exchangeSchedule.ExchangeSchedule;

  private readonly publisher: viewPublisher.ViewPublisher;

  private readonly modeSelector: platformModeSelector.PlatformModeSelector;

  private readonly announcer = new leavingAnnouncer.LeavingAnnouncer();

  private readonly exchangeBuilder: exchangeBuilder.ExchangeBuilder;

  private readonly reachabilityMonitor: reachabilityMonitor.ReachabilityMonitor;

  private state: 'starting' | 'serving' | 'leaving' = 'starting';

  private document: Extract<peerTaskMessage.PeerTaskMessage, { type: 'document-freshness' }> = {
    type: 'document-freshness', held: undefined, freshness: 'current',
  };

  private mode: 'watch' | 'poll' | undefined;

  private listRead: 'read' | 'unread' = 'unread';

  private ticks = 0;

  private lastTickMs: number;

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vmContext.VmContext) {
    super(context.scheduler);
    const { identity, random, timers } = context;
    const rules = context.rules.peers;
    this.view = new partialView.PartialView({ identity, random, rules });
    this.sender = new peerSender.PeerSender(context);
    this.droppedMessages = new droppedMessageLog.DroppedMessageLog(context);
    this.drainNotices = rules.createDrainNoticeStore();
    this.exchangeBuilder = new exchangeBuilder.ExchangeBuilder({ view: this.view, drainNotices: this.drainNotices });
    this.reachabilityMonitor = new reachabilityMonitor.ReachabilityMonitor({ view: this.view, sender: this.sender, random });
    this.schedule = new exchangeSchedule.ExchangeSchedule(random);
    this.publisher = new viewPublisher.ViewPublisher(context);
    this.modeSelector = new platformModeSelector.PlatformModeSelector(identity);
    this.indirectProbes = new indirectProbeRelay.IndirectProbeRelay({ context, view: this.view, owner: this });
    this.inbox = new peerInbox.PeerInbox({
      context, view: this.view, droppedMessages: this.droppedMessages, indirectProbes: this.indirectProbes, owner: this,
    });
    this.lastTickMs = timers.getNowMs();
    this.view.applyList(context.seedPeers, this.lastTickMs);
    // The random delay spreads the ticks of VMs that were started at the same time.
    timers.subscribe({
      mailbox: this, message: { type: 'tick' }, delayMs: random.drawInteger(TICK_PERIOD_MS), periodMs: TICK_PERIOD_MS,
    });
  }

  /** @internal */
  override handle(message: peerTaskMessage.PeerTaskMessage): void {
    switch (message.type) {
      case 'envelope':
        this.inbox.receive(message.envelope);
        break;
      case 'list':
        this.applyList(message);
        break;
      case 'send':
        this.sendByName(message.to, message.message);
        break;
      case 'send-to-fronting':
        this.publisher.listFronting(message.service)
          .filter((member) => member.name !== this.context.identity.name)
          .forEach((member) => this.sendByName(member.name, message.message));
        break;
      case 'fronting-requested':
        message.replyTo.post({ type: 'fronting', vms: this.publisher.listFronting(message.service) });
        break;
      case 'push':
        if (message.message.type === 'drain') this.recordDrains(message.message.notices, 'own');
        else this.sender.sendToAll(this.view.listActive(), message.message);
        break;
      case 'invalid':
        this.droppedMessages.recordDrop(message.detail);
        break;
      case 'delivery-failed':
        this.view.findPeer(message.to)?.recordRequest(this.context.timers.getNowMs());
        break;
      case 'document-freshness':
        this.document = message;
        this.updateMode();
        break;
      case 'document-accepted':
        this.publisher.applyDocument(message.document);
        break;
      case 'ejections-changed':
        this.exchangeBuilder.setEjections(message.notice);
        break;
      case 'state-changed':
        this.applyState(message.state);
        break;
      case 'status-requested':
        message.replyTo.post({ type: 'peer-status', peers: this.publisher.getPublished(), droppedMessages: this.droppedMessages.getCount() });
        break;
      case 'tick':
        this.runTick();
        break;
      default:
        break;
    }
  }

  /** @inheritdoc */
  recordDrains(notices: readonly upstreams.DrainNotice[], source: 'own' | 'peer'): void {
    const added = this.drainNotices.addNotices(notices, this.context.timers.getNowMs());
    if (added.length === 0) return;
    if (source === 'peer') this.context.mailboxes.upstreams.post({ type: 'drain', notices: added });
    const active = this.view.listActive();
    const receivers = source === 'own' ? active : this.context.random.shuffleItems(active).slice(0, DRAIN_RELAY_FANOUT);
    this.sender.sendToAll(receivers, { type: 'drain', notices: added });
  }

  /** @inheritdoc */
  sendExchange(to: vmIdentity.VmIdentity, direction: 'request' | 'reply'): void {
    const own = { state: this.state, document: this.document.held };
    this.sender.send(to, this.exchangeBuilder.buildExchange(to, direction, own, this.context.timers.getNowMs()));
  }

  /** @inheritdoc */
  requestExchange(peer: peerModule.Peer): void {
    peer.recordRequest(this.context.timers.getNowMs());
    this.sendExchange(peer.identity, 'request');
  }

  /** @inheritdoc */
  sendMessage(to: vmIdentity.VmIdentity, message: peerMessage.PeerMessage): void {
    this.sender.send(to, message);
  }

  /** @inheritdoc */
  publishPeer(peer: peerModule.Peer): void {
    if (viewPublisher.ViewPublisher.isChanged(peer, this.context.timers.getNowMs())) this.publishView();
  }

  private publishView(): void {
    if (this.publisher.publishChanges(this.view, this.context.timers.getNowMs()) === 'changed') this.updateMode();
  }

  private sendByName(name: string, message: peerMessage.PeerMessage): void {
    const peer = this.view.findPeer(name);
    if (peer !== undefined) this.sender.send(peer.identity, message);
    else if (message.type === 'operation-forwarded') this.context.mailboxes.requests.post({ type: 'peer-unreached', to: name });
  }

  private applyState(state: 'serving' | 'leaving'): void {
    this.state = state;
    const active = this.view.listActive();
    if (state === 'leaving') this.sender.sendToAll(active, { type: 'leaving' });
    // Peers that received the state `starting` do not return the address of this VM to callers until they receive `serving`.
    else active.forEach((peer) => this.sendExchange(peer.identity, 'reply'));
    this.updateMode();
  }

  private applyList(list: Extract<peerTaskMessage.PeerTaskMessage, { type: 'list' }>): void {
    const nowMs = this.context.timers.getNowMs();
    const count = this.view.applyList(list.entries, nowMs);
    this.context.mailboxes.configuration.post({ type: 'listed-peers', count });
    // A starting VM requests exchanges at once, because the list may arrive long before its first tick.
    if (this.listRead === 'unread' && this.state === 'starting') this.requestExchanges(nowMs);
    this.listRead = 'read';
    this.publishView();
  }

  private runTick(): void {
    const nowMs = this.context.timers.getNowMs();
    if (nowMs - this.lastTickMs > PAUSE_THRESHOLD_MS) this.view.listPeers().forEach((peer) => peer.reachability.resetCounts());
    this.lastTickMs = nowMs;
    this.ticks += 1;
    const seeds = this.context.seedPeers.filter((seed) => seed.name !== this.context.identity.name);
    if (this.listRead === 'unread' && this.ticks === SEED_FALLBACK_TICKS && seeds.length > 0) {
      this.context.mailboxes.configuration.post({ type: 'listed-peers', count: seeds.length });
    }
    this.view.pruneAbsent(nowMs);
    if (this.ticks % ROTATION_PERIOD_TICKS === 0) this.view.rotateActive();
    this.reachabilityMonitor.evaluatePeers(nowMs);
    this.view.listActive().filter((peer) => peer.reachability.getState() === 'unreachable').forEach((peer) => this.inbox.clearEjections(peer));
    this.view.listPeers().forEach((peer) => this.probeChallenger(peer, nowMs));
    this.requestExchanges(nowMs);
    this.indirectProbes.expireProbes(nowMs);
    if (this.state === 'leaving') this.sender.sendToAll(this.announcer.selectNext(this.view.listPeers()), { type: 'leaving' });
    this.publishView();
    if (this.mode === undefined) this.updateMode();
  }

  private requestExchanges(nowMs: number): void {
    this.schedule.choosePeers(this.view.listActive(), this.state, nowMs).forEach((peer) => this.requestExchange(peer));
  }

  private probeChallenger(peer: peerModule.Peer, nowMs: number): void {
    const challenger = peer.incarnationPolicy.getChallenger(nowMs);
    if (challenger !== undefined) [peer.identity, challenger].forEach((identity) => this.sendExchange(identity, 'request'));
  }

  private updateMode(): void {
    // A VM that holds no document watches the platform, because waiting for the next poll would delay its start.
    const freshness = this.document.held === undefined ? 'stale' : this.document.freshness;
    const mode = this.modeSelector.chooseMode(this.publisher.getPublished(), this.state, freshness);
    if (mode === this.mode) return;
    this.mode = mode;
    this.context.outbox.post({ type: 'platform-mode', mode });
  }
}
