import type * as storeOutage from '../contracts/StoreOutage.js';
import type * as vmLoad from './VmLoad.js';

/**
 * State of a VM as reported by itself.
 * - `starting`: has no configuration yet.
 * - `ready`: serves callers.
 * - `slow`: serves callers, but its timers fire late.
 * - `leaving`: is being stopped; callers are no longer sent to it.
 */
export type VmState = 'starting' | 'ready' | 'slow' | 'leaving';

/** Load of a VM and of its place. VMs of earlier versions report none of it. */
export interface LoadFields {
  /** What the link of the VM bears, in Mbit/s; missing if its settings do not state it. */
  readonly linkCapacityMbps?: number | undefined;
  readonly load?: vmLoad.VmLoad | undefined;
  /** Largest demand of the callers of its place that the VM has observed lately; reported by VMs that callers are sent to. */
  readonly demand?: vmLoad.PlaceDemand | undefined;
}

/** Summary of the state of a VM, which other VMs forward in their heartbeats. */
export interface PeerDigest extends LoadFields {
  readonly name: string;
  readonly host: string;
  readonly place: string;
  readonly incarnation: string;
  readonly state: VmState;
  /** CPU capacity of the VM, in cores. */
  readonly capacity: number;
  /** Time since the latest direct or forwarded report on the VM, in milliseconds. */
  readonly ageMs: number;
}

/** Message that a VM sends periodically, with its own state and digests of some other VMs. */
export interface VmHeartbeat extends LoadFields {
  readonly name: string;
  readonly host: string;
  readonly place: string;
  /** Unique token of one run of the process. */
  readonly incarnation: string;
  /** Sequence number of the heartbeat within the incarnation. */
  readonly sequence: number;
  readonly state: VmState;
  /** CPU capacity of the VM, in cores. */
  readonly capacity: number;
  /** Whether it watches the store and tells its place about changes, or follows VMs that do. */
  readonly role: 'watcher' | 'follower';
  /** Latest revision of the store whose changes are all in its catalog. */
  readonly revision: number;
  /** Time since the store or another VM last confirmed that its catalog is up to date, in milliseconds. */
  readonly confirmedAgeMs: number;
  readonly store: storeOutage.StoreReport;
  /** Whether the receiver should send a heartbeat back. */
  readonly reply: 'wanted' | 'none';
  /** Digests of randomly chosen VMs that the sender can reach, so that their state spreads (gossip). */
  readonly mentions: readonly PeerDigest[];
}
