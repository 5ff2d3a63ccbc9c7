import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';

/** Counts of one member, kind and service within one flush. */
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

/** Counts since the previous flush. A gap in `sequence` means that counts are unknown, not zero. */
export interface EvidenceFlush {
  readonly vm: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly counts: readonly EvidenceCount[];
}

/** Evidence of one member on one VM since its incarnation started. */
export interface MemberReport {
  readonly member: string;
  readonly vm: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly counting: contracts.MemberContract['counting'];
  /** Units that the member counts as served and as asked for. */
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
  /** Flushes at once, at the end of a graceful shutdown. */
  | { readonly type: 'flush-requested'; readonly replyTo: tasks.Mailbox<EvidenceFlushed> }
  | { readonly type: 'tick' };

/** Answer to `flush-requested`. */
export interface EvidenceFlushed {
  readonly type: 'evidence-flushed';
}

/** Answer to `report-requested`. */
export interface EvidenceReply {
  readonly type: 'member-report';
  readonly queryId: string;
  readonly report: MemberReport | undefined;
}
