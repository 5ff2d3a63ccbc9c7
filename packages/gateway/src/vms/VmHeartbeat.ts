/**
 * State of a VM as it says itself.
 * - `starting`: has no configuration yet.
 * - `ready`: serves callers.
 * - `slow`: serves, but its own timers fire late.
 * - `leaving`: is being stopped.
 */
export type VmState = 'starting' | 'ready' | 'slow' | 'leaving';

/** What one VM tells of another. */
export interface PeerDigest {
  readonly name: string;
  readonly host: string;
  readonly place: string;
  readonly incarnation: string;
  readonly state: VmState;
  readonly capacity: number;
  /** Time since it was last heard, in milliseconds. */
  readonly ageMs: number;
}

/** What a VM tells others about itself and a few more. */
export interface VmHeartbeat {
  readonly name: string;
  readonly host: string;
  readonly place: string;
  /** Token of the run of the process. */
  readonly incarnation: string;
  /** Number of the heartbeat within the incarnation. */
  readonly sequence: number;
  readonly state: VmState;
  /** Processor share that the VM has, in cores. */
  readonly capacity: number;
  /** Revision of the store up to which it knows everything. */
  readonly revision: number;
  readonly confirmedAgeMs: number;
  readonly reply: 'wanted' | 'none';
  readonly mentions: readonly PeerDigest[];
}
