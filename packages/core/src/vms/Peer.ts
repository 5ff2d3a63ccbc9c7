import type * as links from '../links/index.js';
import type * as incarnationPolicy from './IncarnationPolicy.js';
import type * as peerRules from './PeerRules.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmIdentity from './VmIdentity.js';

// The platform's list may be out of date, so a message of the peer takes precedence over the list for this time.
const MESSAGE_PRECEDENCE_MS = 15_000;

// A VM usually starts within seconds, and the exchange in which it reports `serving` goes only to its active peers and may be
// lost, so a report of `starting` expires after this time.
const STARTING_REPORT_VALIDITY_MS = 15_000;

// After the loss of a place, all VMs request indirect probes of the same peers, so a result of the last 2 s is reused.
const RECENT_RESULT_MS = 2_000;

/** State that this VM has recorded about one other VM. */
export class Peer {
  /** State in the platform's list; `absent` if the list does not contain the peer. */
  listedState: 'live' | 'leaving' | 'absent' = 'absent';

  /** State that the peer reported last; undefined if its current incarnation has not reported one. */
  reportedState: 'starting' | 'serving' | 'leaving' | undefined;

  // Time of the last message that reported the state.
  private reportedMs = -Infinity;

  lastReceivedMs = -Infinity;

  lastRequestedMs = -Infinity;

  /** View of this peer that was last published to other tasks. */
  publishedView: peerTaskMessage.PeerView | undefined;

  /** Whether the last exchange of the peer contained ejections. */
  ejections: 'some' | 'none' = 'none';

  readonly reachability: links.ReachabilityDetector;

  readonly incarnationPolicy: incarnationPolicy.IncarnationPolicy;

  // Created with the first message, so that peers that have sent no message use little memory.
  private sequenceWindow: links.SequenceWindow | undefined;

  /**
   * @param identity - Address of the peer; the incarnation is empty until the first message of the peer arrives.
   * @param addedMs - Time at which the peer became known, in milliseconds.
   * @param rules - Factory of the policies for the peer.
   */
  constructor(public identity: vmIdentity.VmIdentity, readonly addedMs: number, private readonly rules: peerRules.PeerRules) {
    this.reachability = rules.createReachabilityDetector();
    this.incarnationPolicy = rules.createIncarnationPolicy();
  }

  /** Whether a message of the peer has arrived, which contains its incarnation. */
  isIncarnationKnown(): boolean {
    return this.identity.incarnation !== '';
  }

  /** Gets the time of the last message from the peer or exchange request to it, in milliseconds. */
  getLastContactMs(): number {
    return Math.max(this.lastReceivedMs, this.lastRequestedMs);
  }

  /**
   * Records a message of the current incarnation and checks it for duplicates and reordering.
   * @param sequence - Sequence number of the message.
   * @param kind - Whether the message is an exchange.
   * @param nowMs - Current time in milliseconds.
   */
  recordMessage(sequence: number, kind: 'exchange' | 'other', nowMs: number): 'accepted' | 'duplicate' | 'superseded' {
    this.sequenceWindow ??= this.rules.createSequenceWindow();
    const result = this.sequenceWindow.accept(sequence, kind);
    if (result === 'duplicate') return result;
    this.lastReceivedMs = nowMs;
    this.incarnationPolicy.recordCurrent();
    this.reachability.recordMessage();
    return result;
  }

  /**
   * Records the state that the peer reported.
   * @param state - State of the peer. `leaving` is final for an incarnation, because an exchange sent earlier may arrive later.
   * @param nowMs - Current time in milliseconds.
   */
  recordState(state: 'starting' | 'serving' | 'leaving', nowMs: number): void {
    if (this.reportedState !== 'leaving') this.reportedState = state;
    this.reportedMs = nowMs;
  }

  /**
   * Records that an exchange request is sent to the peer.
   * @param nowMs - Current time in milliseconds.
   */
  recordRequest(nowMs: number): void {
    this.lastRequestedMs = nowMs;
    this.reachability.recordRequest(nowMs);
  }

  /**
   * Gets the result of an indirect probe from recent contact with the peer; undefined if the peer has to be contacted first.
   * @param nowMs - Current time in milliseconds.
   */
  getRecentProbeResult(nowMs: number): 'reached' | 'silent' | undefined {
    if (nowMs - this.lastReceivedMs < RECENT_RESULT_MS) return 'reached';
    return this.reachability.getState() === 'unreachable' && !this.reachability.isRequestDue(nowMs) ? 'silent' : undefined;
  }

  /**
   * Replaces the current incarnation.
   * @param identity - Identity of the incarnation.
   */
  setIncarnation(identity: vmIdentity.VmIdentity): void {
    this.identity = identity;
    this.reportedState = undefined;
    this.sequenceWindow = undefined;
  }

  /**
   * Computes the state that is published to other tasks.
   * @param nowMs - Current time in milliseconds.
   */
  computeState(nowMs: number): peerTaskMessage.PeerView['state'] {
    if (this.reportedState === 'leaving') return 'leaving';
    if (this.listedState === 'leaving' && nowMs - this.lastReceivedMs > MESSAGE_PRECEDENCE_MS) return 'leaving';
    const reachable = this.reachability.getState();
    if (reachable !== 'reachable') return reachable;
    return this.reportedState === 'starting' && nowMs - this.reportedMs < STARTING_REPORT_VALIDITY_MS ? 'starting' : 'reachable';
  }
}
