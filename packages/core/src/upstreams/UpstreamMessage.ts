import type * as contracts from '../contracts/index.js';
import type * as places from '../places/index.js';
import type * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as evidenceRow from './EvidenceRow.js';
import type * as instanceAddress from './InstanceAddress.js';
import type * as observation from './Observation.js';
import type * as probeResult from './ProbeResult.js';

/** Answer of an `UpstreamTask` to `acquire`. */
export type AcquireReply =
  | { readonly type: 'assigned'; readonly attemptId: string; readonly instance: instanceAddress.InstanceAddress; readonly hedgeAfterMs: number }
  /** `saturated`: all limits are used up, a `capacity-freed` follows. `none`: no instance can be used. */
  | { readonly type: 'unavailable'; readonly attemptId: string; readonly cause: 'saturated' | 'none' };

/** Sent to the request task when an instance can take more work after `saturated`. */
export interface CapacityFreed {
  readonly type: 'capacity-freed';
  readonly service: string;
}

/** Message to the `UpstreamTask` of one service. */
export type UpstreamMessage =
  | {
    readonly type: 'acquire';
    readonly attemptId: string;
    /** Names of instances that this request must not use again. */
    readonly excluded: readonly string[];
    readonly replyTo: tasks.Mailbox<AcquireReply | CapacityFreed>;
  }
  /** Ends an attempt: frees its slot and gives its evidence. */
  | {
    readonly type: 'observed';
    readonly attemptId: string;
    readonly observation: observation.Observation;
    readonly latencyMs: number;
    readonly load: number | undefined;
    readonly drain: 'leaving' | undefined;
  }
  | { readonly type: 'contract'; readonly contract: contracts.ServiceContract }
  | { readonly type: 'list'; readonly entries: readonly vms.UpstreamListEntry[] }
  | { readonly type: 'drain'; readonly notices: readonly drainNotice.DrainNotice[] }
  | { readonly type: 'probe-ended'; readonly instance: string; readonly result: probeResult.ProbeResult }
  | { readonly type: 'evidence-requested'; readonly from: string; readonly instances: readonly string[] }
  | { readonly type: 'evidence-reported'; readonly from: string; readonly place: string; readonly rows: readonly evidenceRow.EvidenceRow[] }
  | { readonly type: 'peer-ejections'; readonly from: string; readonly instances: readonly string[] }
  /** Fronting set of the service, in answer to `fronting-requested`. */
  | { readonly type: 'fronting'; readonly vms: readonly places.FrontingCandidate[] }
  | { readonly type: 'local-health'; readonly health: 'good' | 'late' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<UpstreamStatus> }
  /** The time of a held acquire is over. */
  | { readonly type: 'hold-expired' }
  | { readonly type: 'tick' };

/** State of one instance for the status page. */
export interface InstanceStatus {
  readonly name: string;
  readonly place: string;
  readonly state: 'in-service' | 'steered' | 'ejected' | 'trial' | 'warming' | 'leaving';
  /** Weight between 0 and 1. */
  readonly weight: number;
  readonly inFlight: number;
  /** Reason of the last ejection or steering; empty if there was none. */
  readonly reason: string;
}

/** State of one service for the status page. */
export interface UpstreamStatus {
  readonly type: 'upstream-status';
  readonly service: string;
  readonly floorInstances: number;
  readonly instances: readonly InstanceStatus[];
}
