import type * as vmIdentity from './VmIdentity.js';

const PROBE_TIMEOUT_MS = 2_500;
const MAX_PENDING_PROBES = 32;

interface PendingProbe {
  readonly asker: string;
  readonly target: vmIdentity.VmIdentity;
  /** Time at which the probe times out, in milliseconds. */
  readonly expiresAtMs: number;
}

/** Result of an indirect probe, to be sent to the peer that requested it. */
export interface IndirectProbeResult {
  /** Name of the peer that requested the probe. */
  readonly asker: string;
  readonly target: vmIdentity.VmIdentity;
  /** `silent`: no message of the target arrived before the timeout. */
  readonly result: 'reached' | 'silent';
}

/**
 * Indirect probes that peers requested from this VM, kept until the target responds or the probe times out. Any message of the target
 * counts as a response.
 */
export class PendingIndirectProbes {
  private pending: PendingProbe[] = [];

  /**
   * Adds a probe, unless the maximum number of probes is pending. In that case the probe is dropped; the peer repeats its request.
   * @param asker - Name of the peer that requested the probe.
   * @param target - VM to probe.
   * @param nowMs - Current time in milliseconds.
   */
  addProbe(asker: string, target: vmIdentity.VmIdentity, nowMs: number): void {
    if (this.pending.length < MAX_PENDING_PROBES) this.pending.push({ asker, target, expiresAtMs: nowMs + PROBE_TIMEOUT_MS });
  }

  /**
   * Removes the probes whose target has responded, and returns their results.
   * @param identity - Target from which a message has arrived.
   */
  removeReached(identity: vmIdentity.VmIdentity): IndirectProbeResult[] {
    if (this.pending.length === 0) return [];
    const reached = this.pending.filter((probe) => probe.target.name === identity.name);
    this.pending = this.pending.filter((probe) => probe.target.name !== identity.name);
    return reached.map((probe) => ({ asker: probe.asker, target: identity, result: 'reached' }));
  }

  /** Lists the targets that have not responded yet. In each tick an exchange is requested from them, because messages may be lost. */
  listTargets(): vmIdentity.VmIdentity[] {
    return [...new Map(this.pending.map((probe) => [probe.target.name, probe.target])).values()];
  }

  /**
   * Removes the probes that timed out, and returns their results.
   * @param nowMs - Current time in milliseconds.
   */
  removeTimedOut(nowMs: number): IndirectProbeResult[] {
    if (this.pending.length === 0) return [];
    const expired = this.pending.filter((probe) => probe.expiresAtMs <= nowMs);
    this.pending = this.pending.filter((probe) => probe.expiresAtMs > nowMs);
    return expired.map((probe) => ({ asker: probe.asker, target: probe.target, result: 'silent' }));
  }
}
