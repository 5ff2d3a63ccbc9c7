import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';

/** Numbers of requests and latencies of one member, service and kind. */
export interface EvidenceCount {
  readonly member: string;
  readonly service: string;
  readonly kind: string;
  readonly requests: number;
  readonly answeredOnTime: number;
  readonly answeredLate: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Upper bounds of the latency quantiles in milliseconds. */
  readonly latencyMs: { readonly p50: number; readonly p99: number; readonly max: number };
}

/** Counts since the previous flush. A gap in `sequence` means that the counts of the missing flushes are unknown, not zero. */
export interface EvidenceFlush {
  readonly vm: string;
  /** Id of the process of the VM; changes with each restart. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly counts: readonly EvidenceCount[];
}

/** Report on the requests of one member at one VM, since the start of the process of the VM. */
export interface MemberReport {
  readonly member: string;
  readonly vm: string;
  /** Id of the process of the VM; changes with each restart. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly counting: contracts.MemberContract['counting'];
  /** Units by the counting method of the member: `served` were answered on time, `asked` were requested. */
  readonly served: number;
  readonly asked: number;
  readonly counts: readonly EvidenceCount[];
}

/** Message to the `EvidenceTask`. */
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

/** Reply to `report-requested`; `report` is undefined for a member that is not declared. */
export interface EvidenceReply {
  readonly type: 'member-report';
  readonly queryId: string;
  readonly report: MemberReport | undefined;
}
