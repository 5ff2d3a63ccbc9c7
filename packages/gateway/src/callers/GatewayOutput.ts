import type * as configuration from '../contracts/Configuration.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as requestArrival from './RequestArrival.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | undefined>>;

/** What the tasks of the decisions ask of the tasks that own sockets. */
export type GatewayOutput =
  | { readonly type: 'answer'; readonly requestId: string; readonly answer: attemptEnding.InstanceAnswer }
  | {
    readonly type: 'refuse';
    readonly requestId: string;
    readonly reason: requestArrival.RefusalReason;
    /** Time after which the caller should come back, in milliseconds; undefined if it should not. */
    readonly retryAfterMs: number | undefined;
  }
  | {
    readonly type: 'send-attempt';
    readonly attemptId: string;
    readonly arrival: requestArrival.RequestArrival;
    readonly instance: instanceRecord.InstanceRecord;
    readonly deadlineMs: number;
    readonly connectionLimit: number;
  }
  | { readonly type: 'cancel-attempt'; readonly attemptId: string }
  | { readonly type: 'evidence-found'; readonly rows: readonly instanceEvidence.InstanceEvidence[] }
  | { readonly type: 'limits-changed'; readonly limits: configuration.CallerLimits }
  | { readonly type: 'log'; readonly event: string; readonly fields: LogFields };
