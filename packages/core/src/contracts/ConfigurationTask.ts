import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as configurationMessage from './ConfigurationMessage.js';
import * as conflictRecord from './ConflictRecord.js';
import type * as deploymentDocument from './DeploymentDocument.js';
import * as documentFetchTracker from './DocumentFetchTracker.js';
import type * as documentOrder from './DocumentOrder.js';
import * as documentReader from './DocumentReader.js';
import type * as startupPolicy from './StartupPolicy.js';

const TICK_PERIOD_MS = 1_000;

// Limits the text that a VM sends per tick. A peer that receives no text requests it from another holder, so the load of
// sending a large document is spread over many VMs.
const TEXT_BYTES_PER_TICK = 2 ** 19;

const MAX_STARTUP_ANSWERS = 64;

/** Owns the document in force, with which this VM serves requests, and decides which published documents are accepted. */
export class ConfigurationTask extends tasks.Task<configurationMessage.ConfigurationMessage> {
  // Newest document that was accepted. It is in force as soon as the VM serves.
  private heldDocument: deploymentDocument.DeploymentDocument | undefined;

  private phase: 'starting' | 'serving' = 'starting';

  private waitingFor = 'a document';

  // Result of the last read of the platform, for the status page.
  private platform: 'reachable' | 'failed' | 'unread' = 'unread';

  // Whether a valid document was read from the platform since the start.
  private platformDocument: 'read' | 'unread' = 'unread';

  // `stale`: a newer document was announced several seconds ago and its text has not arrived.
  private freshness: 'current' | 'stale' = 'current';

  private listedPeers: number | undefined;

  // Time since the start, in milliseconds.
  private waitedMs = 0;

  private textBytesLeft = TEXT_BYTES_PER_TICK;

  private retry: 'scheduled' | 'none' = 'none';

  private readonly answers = new Map<string, startupPolicy.StartupAnswer>();

  private readonly conflicts = new conflictRecord.ConflictRecord();

  private readonly order: documentOrder.DocumentOrder;

  private readonly startupPolicy: startupPolicy.StartupPolicy;

  private readonly fetchTracker: documentFetchTracker.DocumentFetchTracker;

  private readonly reader: documentReader.DocumentReader;

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
    this.order = context.rules.contracts.createDocumentOrder();
    this.startupPolicy = context.rules.contracts.createStartupPolicy();
    this.fetchTracker = new documentFetchTracker.DocumentFetchTracker(this.order);
    this.reader = new documentReader.DocumentReader(context.codec, context.deployment);
    context.timers.subscribe({
      mailbox: this, message: { type: 'tick' }, delayMs: context.random.drawInteger(TICK_PERIOD_MS), periodMs: TICK_PERIOD_MS,
    });
  }

  /** @internal */
  override handle(message: configurationMessage.ConfigurationMessage): void {
    switch (message.type) {
      case 'published':
        this.receivePublished(message.text);
        break;
      case 'platform-failed':
        this.platform = 'failed';
        break;
      case 'peer-document':
        this.recordPeerDocument(message);
        break;
      case 'peer-text':
        this.readText(message.text);
        break;
      case 'peer-request':
        this.sendText(message.from);
        break;
      case 'listed-peers':
        this.listedPeers = message.count;
        this.evaluateStart();
        break;
      case 'status-requested':
        this.reportStatus(message.replyTo);
        break;
      case 'retry-due':
        this.retry = 'none';
        this.requestText(this.context.timers.getNowMs());
        break;
      case 'tick':
        this.runTick();
        break;
      // no default
    }
  }

  private receivePublished(text: string): void {
    this.platform = 'reachable';
    // An older document also counts as read: this VM holds a newer one that it received from a peer.
    if (this.readText(text) === 'valid') this.platformDocument = 'read';
    this.evaluateStart();
  }

  private readText(text: string): 'valid' | 'refused' {
    if (text === this.heldDocument?.text) return 'valid';
    return this.reader.readText(text).match<'valid' | 'refused'>(
      (document) => {
        this.evaluateDocument(document);
        return 'valid';
      },
      (failure) => {
        if (failure.type !== 'repeated') this.log('warn', `refused a document: ${failure.type}`);
        return 'refused';
      },
    );
  }

  private evaluateDocument(document: deploymentDocument.DeploymentDocument): void {
    const { reference } = document;
    this.recordConflict(reference);
    if (!this.order.isNewer(reference, this.heldDocument?.reference)) {
      const accepted = this.heldDocument?.reference.version ?? 0;
      if (reference.version < accepted) this.reader.recordRefusal({ type: 'older-version', found: reference.version, accepted });
      return;
    }
    this.heldDocument = document;
    this.updateFreshness('changed');
    this.context.mailboxes.peers.post({ type: 'push', message: { type: 'document-announced', document: reference } });
    if (this.phase === 'serving') this.publishDocument(document);
    else this.evaluateStart();
  }

  private recordPeerDocument(message: configurationMessage.PeerDocument): void {
    const { document } = message;
    const nowMs = this.context.timers.getNowMs();
    if (document !== undefined) {
      this.recordConflict(document);
      this.fetchTracker.recordAnnouncement(message.from, document, nowMs);
      this.requestText(nowMs);
    }
    if (this.phase === 'serving') return;
    if (message.origin === 'reply' && (this.answers.has(message.from) || this.answers.size < MAX_STARTUP_ANSWERS)) {
      this.answers.set(message.from, { place: message.place, document });
    }
    this.evaluateStart();
  }

  private requestText(nowMs: number): void {
    this.fetchTracker.selectRequestTargets(this.heldDocument?.reference, nowMs).forEach((holder) => {
      this.context.mailboxes.peers.post({ type: 'send', to: holder, message: { type: 'document-requested' } });
    });
    const delayMs = this.fetchTracker.getRetryDelayMs(this.heldDocument?.reference, nowMs);
    if (delayMs === undefined || this.retry === 'scheduled') return;
    this.retry = 'scheduled';
    this.context.timers.subscribe({ mailbox: this, message: { type: 'retry-due' }, delayMs });
  }

  private sendText(to: string): void {
    if (this.heldDocument === undefined || this.textBytesLeft <= 0) return;
    this.textBytesLeft -= this.heldDocument.text.length;
    this.context.mailboxes.peers.post({ type: 'send', to, message: { type: 'document', text: this.heldDocument.text } });
  }

  private recordConflict(reference: deploymentDocument.DeploymentDocument['reference']): void {
    const others = [this.heldDocument?.reference, this.fetchTracker.getNewestAnnounced()];
    const conflicting = others.find((known) => this.conflicts.recordPair(reference, known) === 'new');
    if (conflicting === undefined) return;
    this.log('warn', `document version ${reference.version} was published with different texts`);
    // Announces the older of the two documents too, so that every peer records the conflict and the console finds it on any VM.
    const document = this.order.isNewer(conflicting, reference) ? reference : conflicting;
    this.context.mailboxes.peers.post({ type: 'push', message: { type: 'document-announced', document } });
  }

  private runTick(): void {
    this.textBytesLeft = TEXT_BYTES_PER_TICK;
    const nowMs = this.context.timers.getNowMs();
    this.requestText(nowMs);
    this.updateFreshness('unchanged');
    if (this.phase === 'serving') return;
    // Counted in ticks, so that a pause of this process does not count as time in which peers did not reply.
    this.waitedMs += TICK_PERIOD_MS;
    this.evaluateStart();
  }

  private evaluateStart(): void {
    if (this.phase === 'serving') return;
    this.waitingFor = this.startupPolicy.describeWait({
      held: this.heldDocument?.reference,
      listedPeers: this.listedPeers,
      answers: [...this.answers.values()],
      newestAnnounced: this.fetchTracker.getNewestAnnounced(),
      platform: this.platformDocument,
      waitedMs: this.waitedMs,
    });
    if (this.waitingFor !== '' || this.heldDocument === undefined) return;
    this.phase = 'serving';
    this.answers.clear();
    this.publishDocument(this.heldDocument);
  }

  private updateFreshness(document: 'changed' | 'unchanged'): void {
    const held = this.heldDocument?.reference;
    const freshness = this.fetchTracker.isStale(held, this.context.timers.getNowMs()) ? 'stale' : 'current';
    if (document === 'unchanged' && freshness === this.freshness) return;
    this.freshness = freshness;
    this.context.mailboxes.peers.post({ type: 'document-freshness', held, freshness });
  }

  private publishDocument(document: deploymentDocument.DeploymentDocument): void {
    const { mailboxes, outbox } = this.context;
    const accepted = { type: 'document-accepted', document } as const;
    mailboxes.upstreams.post(accepted);
    mailboxes.requests.post(accepted);
    mailboxes.addresses.post(accepted);
    mailboxes.evidence.post(accepted);
    mailboxes.peers.post(accepted);
    mailboxes.lifecycle.post(accepted);
    outbox.post({ type: 'document-accepted', reference: document.reference, members: document.members });
    this.log('info', `version ${document.reference.version} is in force`);
  }

  private reportStatus(replyTo: tasks.Mailbox<configurationMessage.ConfigurationStatus>): void {
    replyTo.post({
      type: 'configuration-status',
      document: this.phase === 'serving' ? this.heldDocument?.reference : undefined,
      waitingFor: this.waitingFor,
      platform: this.platform,
      refusal: this.reader.getRefusal(),
      conflicts: this.conflicts.listConflicts(),
    });
  }

  private log(level: 'info' | 'warn', text: string): void {
    this.context.outbox.post({
      type: 'log', prefix: 'contracts', level, text,
    });
  }
}
