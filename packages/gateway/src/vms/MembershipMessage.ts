import type * as core from '@tamarackferry/core';

import type * as quotaUsage from '../callers/QuotaUsage.js';
import type * as serviceOutcomes from '../callers/ServiceOutcomes.js';
import type * as storeOutage from '../contracts/StoreOutage.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as vmHeartbeat from './VmHeartbeat.js';
import type * as vmLoad from './VmLoad.js';

/** Answer of the directory, which caller clients query for the VMs to connect to. */
export interface DirectoryAnswer {
  /** Hosts of the VMs to connect to. */
  readonly hosts: readonly string[];
  /** Time for which the caller may cache the answer, in milliseconds. */
  readonly validityMs: number;
}

/** Message to the `MembershipTask`. */
export type MembershipMessage =
  | { readonly type: 'start' }
  | { readonly type: 'stop' }
  // Timer: the state of this VM and its records of the other VMs are to be updated, and heartbeats to be sent.
  | { readonly type: 'tick' }
  | { readonly type: 'heartbeat-received'; readonly heartbeat: vmHeartbeat.VmHeartbeat }
  // The catalog of this VM has changed or was confirmed to be up to date.
  | {
    readonly type: 'catalog-status';
    readonly revision: number;
    readonly store: storeOutage.StoreStatus;
    /** Whether the catalog has changed since the previous message. */
    readonly content: 'changed' | 'unchanged';
    readonly configuration: 'present' | 'missing';
  }
  // A reload of the settings changed the seed hosts, the validity of directory answers or the window of the retry budget.
  | { readonly type: 'settings-changed'; readonly seedHosts: readonly string[]; readonly validityMs: number; readonly budgetWindowMs: number }
  // This VM has measured its own load.
  | { readonly type: 'load-measured'; readonly sample: vmLoad.VmLoadSample }
  // Evidence about instances and outcomes of services, from the requests of this VM, that are to be sent to the other VMs.
  | {
    readonly type: 'evidence-found';
    readonly rows: readonly instanceEvidence.InstanceEvidence[];
    readonly outcomes: readonly serviceOutcomes.ServiceOutcome[];
  }
  // Requests of tenants with a quota, which are to be sent to the other VMs.
  | {
    readonly type: 'quota-usage';
    readonly usage: Omit<quotaUsage.QuotaNotice, 'from' | 'host'>;
    readonly hosts: readonly string[];
    readonly audience: 'all' | 'newcomer';
  }
  | { readonly type: 'directory-requested'; readonly place: string; readonly replyTo: core.tasks.Mailbox<DirectoryAnswer> }
  | { readonly type: 'readiness-requested'; readonly replyTo: core.tasks.Mailbox<vmHeartbeat.VmState> };

/** Evidence about instances, from the requests of one VM, that is sent to other VMs. */
export interface EvidenceNotice {
  /** Name of the VM that sends the evidence. */
  readonly from: string;
  readonly rows: readonly instanceEvidence.InstanceEvidence[];
  /** Numbers of its recent requests, by service. */
  readonly outcomes: readonly serviceOutcomes.ServiceOutcome[];
}

/** Message from the `MembershipTask` to the task that owns the datagram socket. */
export type MembershipOutput =
  | { readonly type: 'send-heartbeat'; readonly hosts: readonly string[]; readonly heartbeat: vmHeartbeat.VmHeartbeat }
  | { readonly type: 'send-evidence'; readonly hosts: readonly string[]; readonly notice: EvidenceNotice }
  | { readonly type: 'send-quota-usage'; readonly hosts: readonly string[]; readonly notice: quotaUsage.QuotaNotice }
  // The directory begins or ceases to return this VM to callers.
  | { readonly type: 'listing-changed'; readonly listed: 'listed' | 'unlisted' };

/** Message to the process: the part of the retry budget that this VM may use has changed. */
export interface BudgetShareChange {
  readonly type: 'budget-share-changed';
  /** Number of VMs of the place among which the budget of the place is divided. */
  readonly divisor: number;
}
