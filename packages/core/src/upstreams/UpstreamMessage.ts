import type * as contracts from '../contracts/index.js';
import type * as places from '../places/index.js';
import type * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as evidenceRow from './EvidenceRow.js';
import type * as instanceAddress from './InstanceAddress.js';
import type * as observation from './Observation.js';
import type * as probeResult from './ProbeResult.js';

/** Reply of an `UpstreamTask` to `acquire`. */
export type AcquireReply =
  /** `hedgeAfterMs`: delay after which a second, concurrent attempt may be started; Infinity without enough samples. */
  | { readonly type: 'assigned'; readonly attemptId: string; readonly instance: instanceAddress.InstanceAddress; readonly hedgeAfterMs: number }
  /** `saturated`: all instances are at their limit; a `capacity-freed` follows. `none`: there is no instance in rotation to use. */
  | { readonly type: 'unavailable'; readonly attemptId: string; readonly cause: 'saturated' | 'none' };

/** Sent to the requester after a `saturated` reply, once an instance has a free slot or the service is no longer served. */
export interface CapacityFreed {
  readonly type: 'capacity-freed';
  readonly service: string;
}

/** Message to the `UpstreamTask` of one service. */
export type UpstreamMessage =
  /** Requests an instance and a slot of it for an attempt. */
  | {
    readonly type: 'acquire';
    readonly attemptId: string;
    /** Names of instances that must not be assigned, because earlier attempts of the request used them. */
    readonly excluded: readonly string[];
    readonly replyTo: tasks.Mailbox<AcquireReply | CapacityFreed>;
  }
  /** Ends an attempt: releases its slot and reports its outcome. */
  | {
    readonly type: 'observed';
    readonly attemptId: string;
    readonly observation: observation.Observation;
    readonly latencyMs: number;
    /** Number of slots in use as reported by the instance; undefined if it sent no report. */
    readonly load: number | undefined;
    /** `leaving` if the answer carried the signal that the instance is draining. */
    readonly drain: 'leaving' | undefined;
  }
  | { readonly type: 'contract'; readonly contract: contracts.ServiceContract }
  /** New list of the instances of the service from the platform. */
  | { readonly type: 'list'; readonly entries: readonly vms.UpstreamListEntry[] }
  | { readonly type: 'drain'; readonly notices: readonly drainNotice.DrainNotice[] }
  | { readonly type: 'probe-ended'; readonly instance: string; readonly result: probeResult.ProbeResult }
  /** A peer suspects instances and requests the counts of this VM about them. */
  | { readonly type: 'evidence-requested'; readonly from: string; readonly instances: readonly string[] }
  /** Counts of a peer, in reply to an evidence request of this VM. */
  | { readonly type: 'evidence-reported'; readonly from: string; readonly place: string; readonly rows: readonly evidenceRow.EvidenceRow[] }
  /** Names of all instances of the service that a peer has ejected. */
  | { readonly type: 'peer-ejections'; readonly from: string; readonly instances: readonly string[] }
  /** Fronting set of the service, the VMs that its callers are sent to, in reply to `fronting-requested`. */
  | { readonly type: 'fronting'; readonly vms: readonly places.FrontingCandidate[] }
  /** `late`: timers of this VM fire late. */
  | { readonly type: 'local-health'; readonly health: 'good' | 'late' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<UpstreamStatus> }
  /** The hold time of the first held acquire has passed. */
  | { readonly type: 'hold-expired' }
  /** The period of the `EvaluationTimer` has passed. */
  | { readonly type: 'tick' };

/** State of one instance for the status page. */
export interface InstanceStatus {
  readonly name: string;
  readonly place: string;
  /** `steered`: deprioritized, with a weight below 1. `trial`: returned after an ejection. `warming`: in its slow start. */
  readonly state: 'in-service' | 'steered' | 'ejected' | 'trial' | 'warming' | 'leaving';
  /** Weight in the random choice, between 0 and 1; 0 for an instance out of rotation. */
  readonly weight: number;
  readonly inFlight: number;
  /** Reason for the last ejection or reduction of the weight; empty if there was none. */
  readonly reason: string;
}

/** State of one service and its instances for the status page. */
export interface UpstreamStatus {
  readonly type: 'upstream-status';
  readonly service: string;
  readonly floorInstances: number;
  readonly instances: readonly InstanceStatus[];
}
