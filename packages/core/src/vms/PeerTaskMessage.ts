import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as listEntry from './ListEntry.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmIdentity from './VmIdentity.js';

/** State of a peer as published to other tasks. */
export interface PeerView {
  readonly identity: vmIdentity.VmIdentity;
  /** `starting`: reachable, but not serving yet. */
  readonly state: 'reachable' | 'starting' | 'suspected' | 'unreachable' | 'leaving';
}

/** Published whenever the view changes, to the tasks that select VMs. */
export interface ViewChanged {
  readonly type: 'view-changed';
  /** All known peers; does not include this VM. */
  readonly peers: readonly PeerView[];
}

/** Message to the `PeerTask`. */
export type PeerTaskMessage =
  /** A peer message has arrived. */
  | { readonly type: 'envelope'; readonly envelope: peerMessage.PeerEnvelope }
  /** Entry VMs of the platform's list, as read last. */
  | { readonly type: 'list'; readonly entries: readonly listEntry.EntryVmListEntry[] }
  /** Sends a message to one peer by name. The message is dropped if the peer is unknown. */
  | { readonly type: 'send'; readonly to: string; readonly message: peerMessage.PeerMessage }
  /** Sends a message to the other VMs of the fronting set of a service, whose addresses the callers of the service receive. */
  | { readonly type: 'send-to-fronting'; readonly service: string; readonly message: peerMessage.PeerMessage }
  /** Requests the fronting set of a service. */
  | { readonly type: 'fronting-requested'; readonly service: string; readonly replyTo: tasks.Mailbox<upstreams.UpstreamMessage> }
  /** Sends a message to all active peers. Drain notices are stored as well. */
  | { readonly type: 'push'; readonly message: peerMessage.PeerMessage }
  /** The transport received data that is not a peer message. */
  | { readonly type: 'invalid'; readonly detail: string }
  /** The transport could not deliver to a peer. */
  | { readonly type: 'delivery-failed'; readonly to: string }
  | contracts.DocumentAccepted
  /** Newest document that this VM holds, in force or not. `stale`: a newer one was announced a while ago and not received yet. */
  | { readonly type: 'document-freshness'; readonly held: contracts.DocumentReference | undefined; readonly freshness: 'current' | 'stale' }
  /** This VM has ejected or reinstated instances of a service. */
  | { readonly type: 'ejections-changed'; readonly notice: upstreams.EjectionNotice }
  /** State of this VM after its start or at the beginning of its shutdown. */
  | { readonly type: 'state-changed'; readonly state: 'serving' | 'leaving' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<PeerStatus> }
  | { readonly type: 'tick' };

/** State of the peer view for the status page. */
export interface PeerStatus {
  readonly type: 'peer-status';
  readonly peers: readonly PeerView[];
  readonly droppedMessages: number;
}
