import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vmIdentity from './VmIdentity.js';

/** Periodic report of a VM to a peer. */
export interface PeerExchange {
  readonly type: 'exchange';
  /** `request`: the receiver replies with an exchange. */
  readonly direction: 'request' | 'reply';
  /** Newest document that the sender holds, if any. On a starting sender the document may not be in force yet. */
  readonly document: contracts.DocumentReference | undefined;
  readonly state: 'starting' | 'serving' | 'leaving';
  /** Drain notices that the sender has received. */
  readonly drains: readonly upstreams.DrainNotice[];
  /** Instances that the sender has ejected. */
  readonly ejections: readonly upstreams.EjectionNotice[];
  /** Sample of the peers that recently sent a message to the sender. */
  readonly peers: readonly vmIdentity.VmIdentity[];
}

/** Message between two VMs. Messages may be lost, delayed, duplicated or reordered. */
export type PeerMessage =
  | PeerExchange
  /** Drain notices that are new to the sender. */
  | { readonly type: 'drain'; readonly notices: readonly upstreams.DrainNotice[] }
  /** The sender is shutting down. */
  | { readonly type: 'leaving' }
  /** Newest document that the sender holds, or the older one of two conflicting documents. */
  | { readonly type: 'document-announced'; readonly document: contracts.DocumentReference }
  /** Requests the text of the document that the receiver holds. */
  | { readonly type: 'document-requested' }
  | { readonly type: 'document'; readonly text: string }
  /** Requests the results of the receiver's attempts at some instances. */
  | { readonly type: 'evidence-requested'; readonly service: string; readonly instances: readonly string[] }
  | { readonly type: 'evidence'; readonly service: string; readonly rows: readonly upstreams.EvidenceRow[] }
  /** Requests an indirect probe: the receiver contacts a third VM from which the sender gets no response. */
  | { readonly type: 'reach-requested'; readonly target: vmIdentity.VmIdentity }
  /** Result of an indirect probe, or `silent` to announce that the target has become unreachable for the sender. */
  | { readonly type: 'reach-reported'; readonly target: string; readonly incarnation: string; readonly result: 'reached' | 'silent' }
  /** Forwards an operation to its home VM. `forwardId` correlates the outcome with the operation. */
  | { readonly type: 'operation-forwarded'; readonly forwardId: string; readonly request: callers.CallerRequest }
  | { readonly type: 'operation-cancelled'; readonly forwardId: string }
  | { readonly type: 'operation-ended'; readonly forwardId: string; readonly outcome: contracts.Outcome };

/** Format version of the peer messages that this program sends. It also accepts the versions one above and one below. */
export const PEER_FORMAT_VERSION = 1;

/** Peer message with its sender. */
export interface PeerEnvelope {
  readonly format: number;
  readonly from: vmIdentity.VmIdentity;
  /** Increases with each message of one incarnation. */
  readonly sequence: number;
  readonly message: PeerMessage;
}
