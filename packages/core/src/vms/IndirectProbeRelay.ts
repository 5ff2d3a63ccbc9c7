import type * as partialView from './PartialView.js';
import type * as peerActions from './PeerActions.js';
import type * as peerMessage from './PeerMessage.js';
import * as pendingIndirectProbes from './PendingIndirectProbes.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';

const SAMPLE_RETRY_MS = 5_000;

const RECENT_CONTACT_MS = 2_000;

/** Options of an `IndirectProbeRelay`. */
export interface IndirectProbeRelayOptions {
  readonly context: vmContext.VmContext;
  readonly view: partialView.PartialView;
  readonly owner: peerActions.PeerActions;
}

/** Runs the indirect probes that peers request from this VM, reports their results, and applies the reports of other peers. */
export class IndirectProbeRelay {
  private readonly pendingProbes = new pendingIndirectProbes.PendingIndirectProbes();

  /** @param options - Parts of the `PeerTask`. */
  constructor(private readonly options: IndirectProbeRelayOptions) {}

  /**
   * Begins an indirect probe.
   * @param from - Peer that requested the probe.
   * @param target - VM to probe.
   */
  beginProbe(from: vmIdentity.VmIdentity, target: vmIdentity.VmIdentity): void {
    const { context, view, owner } = this.options;
    if (target.name === context.identity.name) {
      this.sendReport({ asker: from.name, target: context.identity, result: 'reached' });
      return;
    }
    const nowMs = context.timers.getNowMs();
    const known = view.findPeer(target.name);
    const result = known?.getRecentProbeResult(nowMs);
    if (known !== undefined && result !== undefined) {
      this.sendReport({ asker: from.name, target: known.identity, result });
      return;
    }
    this.pendingProbes.addProbe(from.name, target, nowMs);
    if (known === undefined) {
      owner.sendExchange(target, 'request');
      return;
    }
    // Exchange requests are repeated and evaluated for active peers only.
    view.addActive(known);
    owner.requestExchange(known);
  }

  /**
   * Reports the probes whose target has responded to the peers that requested them.
   * @param identity - Target from which a message has arrived.
   */
  reportReached(identity: vmIdentity.VmIdentity): void {
    this.pendingProbes.removeReached(identity).forEach((report) => this.sendReport(report));
  }

  /**
   * Reports the probes that timed out to the peers that requested them, and repeats the others. Called once per tick.
   * @param nowMs - Current time in milliseconds.
   */
  expireProbes(nowMs: number): void {
    this.pendingProbes.removeTimedOut(nowMs).forEach((report) => this.sendReport(report));
    this.pendingProbes.listTargets().forEach((target) => this.options.owner.sendExchange(target, 'request'));
  }

  /**
   * Applies the report of a peer about a third VM.
   * @param report - Report of the peer.
   */
  applyReport(report: Extract<peerMessage.PeerMessage, { type: 'reach-reported' }>): void {
    const { context, view, owner } = this.options;
    const peer = view.findPeer(report.target);
    if (peer === undefined || (peer.isIncarnationKnown() && peer.identity.incarnation !== report.incarnation)) return;
    const nowMs = context.timers.getNowMs();
    // Another VM got no response from the peer, so this VM requests an exchange now instead of at the next regular turn.
    if (report.result === 'silent' && nowMs - peer.lastReceivedMs > RECENT_CONTACT_MS) {
      view.addActive(peer);
      if (!peer.reachability.isAwaitingReply()) owner.requestExchange(peer);
    }
    peer.reachability.recordReport(report.result, nowMs);
    owner.publishPeer(peer);
  }

  /**
   * Applies one peer of the sample in an exchange. The sender recently received a message of this peer, so an exchange is
   * requested at once if the peer is unreachable for this VM.
   * @param identity - Peer in the sample.
   * @param nowMs - Current time in milliseconds.
   */
  evaluateSample(identity: vmIdentity.VmIdentity, nowMs: number): void {
    const peer = this.options.view.addPeer({ ...identity, incarnation: '' }, nowMs);
    if (peer?.reachability.getState() !== 'unreachable' || nowMs - peer.lastRequestedMs < SAMPLE_RETRY_MS) return;
    this.options.owner.requestExchange(peer);
  }

  private sendReport(report: pendingIndirectProbes.IndirectProbeResult): void {
    const asker = this.options.view.findPeer(report.asker);
    if (asker === undefined) return;
    const { name, incarnation } = report.target;
    this.options.owner.sendMessage(asker.identity, {
      type: 'reach-reported', target: name, incarnation, result: report.result,
    });
  }
}
