/**
 * State of a VM as reported by itself.
 * - `starting`: has no configuration yet.
 * - `ready`: serves callers.
 * - `slow`: serves callers, but its timers fire late.
 * - `leaving`: is being stopped.
 */
export type VmState = 'starting' | 'ready' | 'slow' | 'leaving';

/** Description of a VM that another VM includes in its heartbeats. */
export interface PeerDigest {
  readonly name: string;
  readonly host: string;
  readonly place: string;
  readonly incarnation: string;
  readonly state: VmState;
  readonly capacity: number;
  /** Age of the latest report from or about the VM, in milliseconds. */
  readonly ageMs: number;
}

/** Message that a VM sends periodically, with its own state and digests of some other VMs. */
export interface VmHeartbeat {
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
  /** Revision of the store up to which its catalog is complete. */
  readonly revision: number;
  /** Time since its catalog was last confirmed to be complete, in milliseconds. */
  readonly confirmedAgeMs: number;
  /** Whether the receiver should send a heartbeat back. */
  readonly reply: 'wanted' | 'none';
  /** Digests of some other VMs. */
  readonly mentions: readonly PeerDigest[];
}
