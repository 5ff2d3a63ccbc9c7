import type * as core from '@tamarackferry/core';

import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as vmHeartbeat from './VmHeartbeat.js';

/** Answer to a caller that asks where to connect. */
export interface DirectoryAnswer {
  /** Hosts of the VMs that the caller is sent to. */
  readonly hosts: readonly string[];
  /** Time for which the answer may be kept, in milliseconds. */
  readonly validityMs: number;
}

/** Message to the `MembershipTask`. */
export type MembershipMessage =
  | { readonly type: 'start' }
  | { readonly type: 'stop' }
  | { readonly type: 'tick' }
  | { readonly type: 'heartbeat-received'; readonly heartbeat: vmHeartbeat.VmHeartbeat }
  | {
    readonly type: 'catalog-status';
    readonly revision: number;
    readonly confirmedAtMs: number;
    readonly content: 'changed' | 'same';
    readonly configuration: 'known' | 'missing';
  }
  // Settings that changed while the process runs.
  | { readonly type: 'settings-changed'; readonly seedHosts: readonly string[]; readonly validityMs: number }
  | { readonly type: 'evidence-found'; readonly rows: readonly instanceEvidence.InstanceEvidence[] }
  | { readonly type: 'directory-requested'; readonly place: string; readonly replyTo: core.tasks.Mailbox<DirectoryAnswer> }
  | { readonly type: 'readiness-requested'; readonly replyTo: core.tasks.Mailbox<vmHeartbeat.VmState> };

/** Beliefs of one VM about instances. */
export interface EvidenceNotice {
  /** Name of the VM. */
  readonly from: string;
  readonly rows: readonly instanceEvidence.InstanceEvidence[];
}

/** What the `MembershipTask` asks of the task that owns the datagram socket. */
export type MembershipOutput =
  | { readonly type: 'send-heartbeat'; readonly hosts: readonly string[]; readonly heartbeat: vmHeartbeat.VmHeartbeat }
  | { readonly type: 'send-evidence'; readonly hosts: readonly string[]; readonly notice: EvidenceNotice };
