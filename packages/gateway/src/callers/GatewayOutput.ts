import type * as configuration from '../contracts/Configuration.js';
import type * as tenant from '../contracts/Tenant.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as quotaUsage from './QuotaUsage.js';
import type * as requestArrival from './RequestArrival.js';
import type * as serviceOutcomes from './ServiceOutcomes.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | undefined>>;

/** Message from the tasks that make the routing decisions to the tasks that own sockets. */
export type GatewayOutput =
  | { readonly type: 'answer'; readonly requestId: string; readonly answer: attemptEnding.InstanceAnswer }
  | {
    readonly type: 'refuse';
    readonly requestId: string;
    readonly reason: requestArrival.RefusalReason;
    /** Time after which the caller should retry, in milliseconds; undefined if it should not retry. */
    readonly retryAfterMs: number | undefined;
  }
  | {
    readonly type: 'send-attempt';
    readonly attemptId: string;
    readonly arrival: requestArrival.RequestArrival;
    /** On whose behalf the request is sent, which the instance is told. */
    readonly identity: tenant.CallerIdentity;
    readonly instance: instanceRecord.InstanceRecord;
    /** Time until the deadline of the request, in milliseconds. */
    readonly deadlineMs: number;
    /** Number of connections that this VM may open to the instance. */
    readonly connectionLimit: number;
  }
  | { readonly type: 'cancel-attempt'; readonly attemptId: string }
  // Evidence about instances and outcomes of services, from the requests of this VM, that are to be sent to the other VMs.
  | {
    readonly type: 'evidence-found';
    readonly rows: readonly instanceEvidence.InstanceEvidence[];
    readonly outcomes: readonly serviceOutcomes.ServiceOutcome[];
  }
  // Requests of tenants with a quota, which are to be sent to the other VMs; `newcomer`: to one that has just begun to serve callers.
  | {
    readonly type: 'quota-usage';
    readonly usage: Omit<quotaUsage.QuotaNotice, 'from' | 'host'>;
    /** Hosts that sent such notices lately. */
    readonly hosts: readonly string[];
    readonly audience: 'all' | 'newcomer';
  }
  // A request waits for the first configuration.
  | { readonly type: 'catalog-needed' }
  | { readonly type: 'limits-changed'; readonly limits: configuration.CallerLimits }
  | { readonly type: 'log'; readonly event: string; readonly fields: LogFields };
