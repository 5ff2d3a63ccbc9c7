import type * as core from '@tamarackferry/core';

import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as vmHeartbeat from './VmHeartbeat.js';

/** Answer to a caller that requests the hosts to connect to. */
export interface DirectoryAnswer {
  /** Hosts of the VMs that the caller should connect to. */
  readonly hosts: readonly string[];
  /** Time for which the caller may cache the answer, in milliseconds. */
  readonly validityMs: number;
}

/** Message to the `MembershipTask`. */
export type MembershipMessage =
  | { readonly type: 'start' }
  | { readonly type: 'stop' }
  | { readonly type: 'tick' }
  | { readonly type: 'heartbeat-received'; readonly heartbeat: vmHeartbeat.VmHeartbeat }
  // The catalog of this VM has changed or was confirmed to be complete.
  | {
    readonly type: 'catalog-status';
    readonly revision: number;
    readonly confirmedAtMs: number;
    readonly content: 'changed' | 'unchanged';
    readonly configuration: 'present' | 'missing';
  }
  // The settings changed while the process runs.
  | { readonly type: 'settings-changed'; readonly seedHosts: readonly string[]; readonly validityMs: number }
  // Evidence of this VM that the other VMs should receive.
  | { readonly type: 'evidence-found'; readonly rows: readonly instanceEvidence.InstanceEvidence[] }
  | { readonly type: 'directory-requested'; readonly place: string; readonly replyTo: core.tasks.Mailbox<DirectoryAnswer> }
  | { readonly type: 'readiness-requested'; readonly replyTo: core.tasks.Mailbox<vmHeartbeat.VmState> };

/** Evidence of one VM about instances, as sent to other VMs. */
export interface EvidenceNotice {
  /** Name of the VM that sends the evidence. */
  readonly from: string;
  readonly rows: readonly instanceEvidence.InstanceEvidence[];
}

/** Message from the `MembershipTask` to the task that owns the datagram socket. */
export type MembershipOutput =
  | { readonly type: 'send-heartbeat'; readonly hosts: readonly string[]; readonly heartbeat: vmHeartbeat.VmHeartbeat }
  | { readonly type: 'send-evidence'; readonly hosts: readonly string[]; readonly notice: EvidenceNotice };
