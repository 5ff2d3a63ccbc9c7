import type * as vmIdentity from './VmIdentity.js';

const PROBE_TIMEOUT_MS = 2_500;
const MAX_PENDING_PROBES = 32;

interface PendingProbe {
  readonly asker: string;
  readonly target: vmIdentity.VmIdentity;
  readonly expiresAtMs: number;
}

/** Result of an indirect probe for the peer `asker` that requested it. */
export interface IndirectProbeResult {
  readonly asker: string;
  readonly target: vmIdentity.VmIdentity;
  readonly result: 'reached' | 'silent';
}

/** Indirect probes that peers requested from this VM, kept until the target responds or the probe times out. */
export class PendingIndirectProbes {
  private pending: PendingProbe[] = [];

  /**
   * Adds a probe. Probes above the limit are ignored; the peer repeats its request.
   * @param asker - Name of the peer that requested the probe.
   * @param target - VM to probe.
   * @param nowMs - Current time in milliseconds.
   */
  addProbe(asker: string, target: vmIdentity.VmIdentity, nowMs: number): void {
    if (this.pending.length < MAX_PENDING_PROBES) this.pending.push({ asker, target, expiresAtMs: nowMs + PROBE_TIMEOUT_MS });
  }

  /**
   * Removes and returns the probes of a VM that has responded.
   * @param identity - Sender of the message that arrived.
   */
  removeReached(identity: vmIdentity.VmIdentity): IndirectProbeResult[] {
    if (this.pending.length === 0) return [];
    const reached = this.pending.filter((probe) => probe.target.name === identity.name);
    this.pending = this.pending.filter((probe) => probe.target.name !== identity.name);
    return reached.map((probe) => ({ asker: probe.asker, target: identity, result: 'reached' }));
  }

  /** Lists the VMs that have not responded yet. They receive another request in each tick, because a message may be lost. */
  listTargets(): vmIdentity.VmIdentity[] {
    return [...new Map(this.pending.map((probe) => [probe.target.name, probe.target])).values()];
  }

  /**
   * Removes and returns the probes that timed out.
   * @param nowMs - Current time in milliseconds.
   */
  removeTimedOut(nowMs: number): IndirectProbeResult[] {
    if (this.pending.length === 0) return [];
    const expired = this.pending.filter((probe) => probe.expiresAtMs <= nowMs);
    this.pending = this.pending.filter((probe) => probe.expiresAtMs > nowMs);
    return expired.map((probe) => ({ asker: probe.asker, target: probe.target, result: 'silent' }));
  }
}
