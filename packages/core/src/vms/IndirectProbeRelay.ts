import type * as partialView from './PartialView.js';
import type * as peerActions from './PeerActions.js';
import type * as peerMessage from './PeerMessage.js';
import * as pendingIndirectProbes from './PendingIndirectProbes.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';

const SAMPLE_RETRY_MS = 5_000;

const RECENT_CONTACT_MS = 2_000;

/** Options of a `ReachRelay`. */
export interface IndirectProbeRelayOptions {
  readonly context: vmContext.VmContext;
  readonly view: partialView.PartialView;
  readonly owner: peerActions.PeerActions;
}

/** Tries VMs that other peers cannot reach, reports the results, and uses what other peers report. */
export class IndirectProbeRelay {
  private readonly pendingProbes = new pendingIndirectProbes.PendingIndirectProbes();

  /** @param options - Parts of the `PeerTask`. */
  constructor(private readonly options: IndirectProbeRelayOptions) {}

  /**
   * Begins a check that a peer asked for.
   * @param from - Peer that asked.
   * @param target - VM to try.
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
    // Only active peers are asked again and evaluated.
    view.addActive(known);
    owner.requestExchange(known);
  }

  /**
   * Reports the checks that a message of a VM settles.
   * @param identity - VM that was heard.
   */
  reportReached(identity: vmIdentity.VmIdentity): void {
    this.pendingProbes.takeReached(identity).forEach((report) => this.sendReport(report));
  }

  /**
   * Reports the checks whose time has passed and tries the other ones again. Called once per tick.
   * @param nowMs - Present time in milliseconds.
   */
  expireProbes(nowMs: number): void {
    this.pendingProbes.takeExpired(nowMs).forEach((report) => this.sendReport(report));
    this.pendingProbes.listTargets().forEach((target) => this.options.owner.sendExchange(target, 'request'));
  }

  /**
   * Uses the report of a peer about a third VM.
   * @param report - Report of the peer.
   */
  applyReport(report: Extract<peerMessage.PeerMessage, { type: 'reach-reported' }>): void {
    const { context, view, owner } = this.options;
    const peer = view.findPeer(report.target);
    if (peer === undefined || (peer.isIncarnationKnown() && peer.identity.incarnation !== report.incarnation)) return;
    const nowMs = context.timers.getNowMs();
    // Another VM gave the peer up; this VM makes its own check instead of waiting until the peer's turn comes.
    if (report.result === 'silent' && nowMs - peer.lastReceivedMs > RECENT_CONTACT_MS) {
      view.addActive(peer);
      if (!peer.reachability.isAwaitingReply()) owner.requestExchange(peer);
    }
    peer.reachability.recordReport(report.result, nowMs);
    owner.publishPeer(peer);
  }

  /**
   * Uses the sample of an exchange. Another VM has heard the peer lately, so one that is unreachable here is asked at once.
   * @param identity - Peer in the sample.
   * @param nowMs - Present time in milliseconds.
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
