import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vmIdentity from './VmIdentity.js';

/**
 * Periodic message that contains the state of the sender. A peer that receives one with direction `request` sends one with direction
 * `reply` in return.
 */
export interface PeerExchange {
  readonly type: 'exchange';
  readonly direction: 'request' | 'reply';
  /**
   * Reference to the newest configuration document that the sender holds, if any. A sender that is still starting may not use the
   * document yet.
   */
  readonly document: contracts.DocumentReference | undefined;
  /** `leaving`: the VM is shutting down, and callers are to use other VMs. */
  readonly state: 'starting' | 'serving' | 'leaving';
  /** Drain notices that the sender has received: incarnations of upstream instances that take no new requests. */
  readonly drains: readonly upstreams.DrainNotice[];
  /** Instances that the sender has ejected. */
  readonly ejections: readonly upstreams.EjectionNotice[];
  /** Sample of the peers that recently sent a message to the sender. */
  readonly peers: readonly vmIdentity.VmIdentity[];
}

/** Message between two VMs. Messages may be lost, delayed, duplicated or reordered. */
export type PeerMessage =
  | PeerExchange
  /** Drain notices that the sender has just received from an upstream or a peer. */
  | { readonly type: 'drain'; readonly notices: readonly upstreams.DrainNotice[] }
  /** The sender is shutting down. Sent at once to all active peers, which the next exchanges would reach only one after the other. */
  | { readonly type: 'leaving' }
  /** Reference to the newest document that the sender holds, or to the older one of two conflicting documents. Has no reply. */
  | { readonly type: 'document-announced'; readonly document: contracts.DocumentReference }
  /** Requests the text of the newest document that the receiver holds. The reply is a `document`. */
  | { readonly type: 'document-requested' }
  /** Signed text of the newest document that the sender holds. */
  | { readonly type: 'document'; readonly text: string }
  /** Requests the receiver's counts of good and bad attempts at instances of a service. The reply is an `evidence`. */
  | { readonly type: 'evidence-requested'; readonly service: string; readonly instances: readonly string[] }
  /** Counts of good and bad attempts of the sender, one row per instance. */
  | { readonly type: 'evidence'; readonly service: string; readonly rows: readonly upstreams.EvidenceRow[] }
  /** Requests an indirect probe: the receiver probes the VM `target`, which does not respond to the sender. */
  | { readonly type: 'reach-requested'; readonly target: vmIdentity.VmIdentity }
  /**
   * Result of an indirect probe of the VM named `target`: it has responded (`reached`) or not (`silent`). Also announces, as `silent`, a
   * VM that the sender has found to be unreachable.
   */
  | { readonly type: 'reach-reported'; readonly target: string; readonly incarnation: string; readonly result: 'reached' | 'silent' }
  /**
   * Forwards an operation to its home VM, the VM that issued the prefix of the operation id and alone may run the operation.
   * `forwardId` correlates the following messages with the operation.
   */
  | { readonly type: 'operation-forwarded'; readonly forwardId: string; readonly request: callers.CallerRequest }
  /** Sent by the forwarding VM if the caller no longer waits for the outcome. */
  | { readonly type: 'operation-cancelled'; readonly forwardId: string }
  /** Sent by the home VM with the outcome. */
  | { readonly type: 'operation-ended'; readonly forwardId: string; readonly outcome: contracts.Outcome };

/** Version of the format of peer messages that this program sends. Messages of the next higher and lower versions are accepted too. */
export const PEER_FORMAT_VERSION = 1;

/** Peer message with its format version, sender and sequence number. */
export interface PeerEnvelope {
  readonly format: number;
  readonly from: vmIdentity.VmIdentity;
  /** Increases with each message that an incarnation sends to any peer. Receivers use it to detect duplicates and reordering. */
  readonly sequence: number;
  readonly message: PeerMessage;
}
