import type * as vmIdentity from './VmIdentity.js';

const PROBE_TIMEOUT_MS = 2_500;
const PENDING_LIMIT = 32;

interface PendingProbe {
  readonly asker: string;
  readonly target: vmIdentity.VmIdentity;
  readonly dueMs: number;
}

/** Answer to a peer that cannot reach a third VM. */
export interface IndirectProbeResult {
  readonly asker: string;
  readonly target: vmIdentity.VmIdentity;
  readonly result: 'reached' | 'silent';
}

/** Checks that other peers asked this VM to make, until the third VM answers or the time has passed. */
export class PendingIndirectProbes {
  private pending: PendingProbe[] = [];

  /**
   * Adds a check. Checks above the limit are ignored; the asker asks again.
   * @param asker - Name of the peer that asked.
   * @param target - VM to reach.
   * @param nowMs - Present time in milliseconds.
   */
  addProbe(asker: string, target: vmIdentity.VmIdentity, nowMs: number): void {
    if (this.pending.length < PENDING_LIMIT) this.pending.push({ asker, target, dueMs: nowMs + PROBE_TIMEOUT_MS });
  }

  /**
   * Takes the checks that a message of a VM settles.
   * @param identity - VM that was heard.
   */
  takeReached(identity: vmIdentity.VmIdentity): IndirectProbeResult[] {
    if (this.pending.length === 0) return [];
    const reached = this.pending.filter((probe) => probe.target.name === identity.name);
    this.pending = this.pending.filter((probe) => probe.target.name !== identity.name);
    return reached.map((probe) => ({ asker: probe.asker, target: identity, result: 'reached' }));
  }

  /** Lists the VMs that are still to be reached. They are asked again with each tick, since one message may be lost. */
  listTargets(): vmIdentity.VmIdentity[] {
    return [...new Map(this.pending.map((probe) => [probe.target.name, probe.target])).values()];
  }

  /**
   * Takes the checks whose time has passed.
   * @param nowMs - Present time in milliseconds.
   */
  takeExpired(nowMs: number): IndirectProbeResult[] {
    if (this.pending.length === 0) return [];
    const expired = this.pending.filter((probe) => probe.dueMs <= nowMs);
    this.pending = this.pending.filter((probe) => probe.dueMs > nowMs);
    return expired.map((probe) => ({ asker: probe.asker, target: probe.target, result: 'silent' }));
  }
}
