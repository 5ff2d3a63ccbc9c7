import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vmIdentity from './VmIdentity.js';

/** Regular report of a VM to a peer. */
export interface PeerExchange {
  readonly type: 'exchange';
  /** `request` asks for an exchange in return. */
  readonly direction: 'request' | 'reply';
  /** Newest document that the sender holds, if any; a sender that starts may hold it before it is in force there. */
  readonly document: contracts.DocumentReference | undefined;
  readonly state: 'starting' | 'serving' | 'leaving';
  readonly drains: readonly upstreams.DrainNotice[];
  readonly ejections: readonly upstreams.EjectionNotice[];
  /** Sample of the peers that the sender heard from recently. */
  readonly peers: readonly vmIdentity.VmIdentity[];
}

/** Message between two VMs. Any of them may be lost, late, duplicated or reordered. */
export type PeerMessage =
  | PeerExchange
  | { readonly type: 'drain'; readonly notices: readonly upstreams.DrainNotice[] }
  | { readonly type: 'leaving' }
  | { readonly type: 'document-announced'; readonly document: contracts.DocumentReference }
  | { readonly type: 'document-requested' }
  | { readonly type: 'document'; readonly text: string }
  | { readonly type: 'evidence-requested'; readonly service: string; readonly instances: readonly string[] }
  | { readonly type: 'evidence'; readonly service: string; readonly rows: readonly upstreams.EvidenceRow[] }
  /** Asks the receiver to try a third VM that the sender cannot reach. */
  | { readonly type: 'reach-requested'; readonly target: vmIdentity.VmIdentity }
  | { readonly type: 'reach-reported'; readonly target: string; readonly incarnation: string; readonly result: 'reached' | 'silent' }
  /** Hands an operation to its home VM. `forwardId` relates the outcome to it. */
  | { readonly type: 'operation-forwarded'; readonly forwardId: string; readonly request: callers.CallerRequest }
  | { readonly type: 'operation-cancelled'; readonly forwardId: string }
  | { readonly type: 'operation-ended'; readonly forwardId: string; readonly outcome: contracts.Outcome };

/** Format version of peer messages that this program writes. It also reads the versions one above and one below. */
export const PEER_FORMAT_VERSION = 1;

/** Peer message with its sender. */
export interface PeerEnvelope {
  readonly format: number;
  readonly from: vmIdentity.VmIdentity;
  /** Increases with each message of one incarnation. */
  readonly sequence: number;
  readonly message: PeerMessage;
}
