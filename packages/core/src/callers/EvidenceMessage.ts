import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';

/** Request counts and latency quantiles of one member, service and kind. */
export interface EvidenceCount {
  readonly member: string;
  readonly service: string;
  readonly kind: string;
  readonly requests: number;
  readonly answeredOnTime: number;
  readonly answeredLate: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Latency quantiles and maximum in milliseconds, each rounded up to the bound of its histogram bucket. */
  readonly latencyMs: { readonly p50: number; readonly p99: number; readonly max: number };
}

/**
 * Counts since the previous flush. `sequence` increases by 1 with each flush: a gap means that flushes were lost, and that their counts
 * are unknown, not zero.
 */
export interface EvidenceFlush {
  readonly vm: string;
  /** Id of the VM process, new after each restart. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly counts: readonly EvidenceCount[];
}

/** Report on the requests that one VM has served for one member since its process started. */
export interface MemberReport {
  readonly member: string;
  readonly vm: string;
  /** Id of the VM process, new after each restart. */
  readonly incarnation: string;
  /** Sequence number of the last flush before the report. */
  readonly sequence: number;
  readonly counting: contracts.MemberContract['counting'];
  /** Units by the counting method of the member. `served`: units of requests answered on time; `asked`: units of all requests. */
  readonly served: number;
  readonly asked: number;
  readonly counts: readonly EvidenceCount[];
}

/** Message to the `EvidenceTask`, which builds the evidence: the service report of each member. */
export type EvidenceMessage =
  | {
    readonly type: 'request-ended';
    readonly member: string;
    readonly service: string;
    readonly kind: contracts.RequestKind;
    readonly outcome: contracts.Outcome['type'];
    readonly latencyMs: number;
  }
  | contracts.DocumentAccepted
  | { readonly type: 'report-requested'; readonly queryId: string; readonly member: string; readonly replyTo: tasks.Mailbox<EvidenceReply> }
  /** Requests an immediate flush, at the end of a graceful shutdown. */
  | { readonly type: 'flush-requested'; readonly replyTo: tasks.Mailbox<EvidenceFlushed> }
  /** The timer of the periodic flush expired. */
  | { readonly type: 'tick' };

/** Reply to `flush-requested`. */
export interface EvidenceFlushed {
  readonly type: 'evidence-flushed';
}

/** Reply to `report-requested`; `report` is undefined for a member that the deployment document in force does not declare. */
export interface EvidenceReply {
  readonly type: 'member-report';
  readonly queryId: string;
  readonly report: MemberReport | undefined;
}
