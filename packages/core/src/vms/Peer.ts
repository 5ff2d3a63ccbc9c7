import type * as links from '../links/index.js';
import type * as incarnationPolicy from './IncarnationPolicy.js';
import type * as peerRules from './PeerRules.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmIdentity from './VmIdentity.js';

// The list lags, so what a peer said itself goes before the list for this time.
const MESSAGE_PRECEDENCE_MS = 15_000;

// A VM usually starts within seconds, and the news that it serves may get lost on its way to a peer that is not active.
const STARTING_REPORT_VALIDITY_MS = 15_000;

// After the loss of a place, every VM asks others about the same peers; what was found just now need not be tried again.
const RECENT_RESULT_MS = 2_000;

/** What this VM knows about one other VM. */
export class Peer {
  /** State in the platform's list, or how else the peer became known. */
  listedState: 'live' | 'leaving' | 'absent' = 'absent';

  /** State that the peer named last. */
  reportedState: 'starting' | 'serving' | 'leaving' | undefined;

  // Time of the last exchange, which is what names the state.
  private reportedMs = -Infinity;

  lastReceivedMs = -Infinity;

  lastRequestedMs = -Infinity;

  /** View that was published last. */
  publishedView: peerTaskMessage.PeerView | undefined;

  /** Whether the last exchange of the peer named ejections. */
  ejections: 'some' | 'none' = 'none';

  readonly reachability: links.ReachabilityDetector;

  readonly incarnationPolicy: incarnationPolicy.IncarnationPolicy;

  // Created with the first message, so that peers that are only listed cost little memory.
  private window: links.SequenceWindow | undefined;

  /**
   * @param identity - Address of the peer; the incarnation is empty until the peer is heard.
   * @param addedMs - Time at which the peer became known, in milliseconds.
   * @param rules - Creates the rules for the peer.
   */
  constructor(public identity: vmIdentity.VmIdentity, readonly addedMs: number, private readonly rules: peerRules.PeerRules) {
    this.reachability = rules.createReachabilityDetector();
    this.incarnationPolicy = rules.createIncarnationPolicy();
  }

  /** Whether a message of the present incarnation has arrived. */
  isIncarnationKnown(): boolean {
    return this.identity.incarnation !== '';
  }

  /** Gets the time at which the peer was last heard or asked, in milliseconds. */
  getLastContactMs(): number {
    return Math.max(this.lastReceivedMs, this.lastRequestedMs);
  }

  /**
   * Records a message of the present incarnation.
   * @param sequence - Sequence number of the message.
   * @param kind - Whether the message is an exchange.
   * @param nowMs - Present time in milliseconds.
   */
  recordMessage(sequence: number, kind: 'exchange' | 'other', nowMs: number): 'fresh' | 'duplicate' | 'superseded' {
    this.window ??= this.rules.createSequenceWindow();
    const result = this.window.accept(sequence, kind);
    if (result === 'duplicate') return result;
    this.lastReceivedMs = nowMs;
    this.incarnationPolicy.recordCurrent();
    this.reachability.recordMessage();
    return result;
  }

  /**
   * Records the state that the peer named.
   * @param state - State of the peer. Leaving is final for an incarnation; an earlier exchange may arrive later.
   * @param nowMs - Present time in milliseconds.
   */
  recordState(state: 'starting' | 'serving' | 'leaving', nowMs: number): void {
    if (this.reportedState !== 'leaving') this.reportedState = state;
    this.reportedMs = nowMs;
  }

  /**
   * Records that an exchange is sent to the peer.
   * @param nowMs - Present time in milliseconds.
   */
  recordRequest(nowMs: number): void {
    this.lastRequestedMs = nowMs;
    this.reachability.recordRequest(nowMs);
  }

  /**
   * Gets the result of a check that another VM asks for, if this VM has made one lately.
   * @param nowMs - Present time in milliseconds.
   */
  getRecentProbeResult(nowMs: number): 'reached' | 'silent' | undefined {
    if (nowMs - this.lastReceivedMs < RECENT_RESULT_MS) return 'reached';
    return this.reachability.getState() === 'unreachable' && !this.reachability.isRequestDue(nowMs) ? 'silent' : undefined;
  }

  /**
   * Makes another incarnation the present one.
   * @param identity - Identity of the incarnation.
   */
  setIncarnation(identity: vmIdentity.VmIdentity): void {
    this.identity = identity;
    this.reportedState = undefined;
    this.window = undefined;
  }

  /**
   * Computes the state as other tasks see it.
   * @param nowMs - Present time in milliseconds.
   */
  computeState(nowMs: number): peerTaskMessage.PeerView['state'] {
    if (this.reportedState === 'leaving') return 'leaving';
    if (this.listedState === 'leaving' && nowMs - this.lastReceivedMs > MESSAGE_PRECEDENCE_MS) return 'leaving';
    const reachable = this.reachability.getState();
    if (reachable !== 'reachable') return reachable;
    return this.reportedState === 'starting' && nowMs - this.reportedMs < STARTING_REPORT_VALIDITY_MS ? 'starting' : 'reachable';
  }
}
