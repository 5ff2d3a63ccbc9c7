import type * as contracts from '../contracts/index.js';
import type * as tasks from '../tasks/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as listEntry from './ListEntry.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmIdentity from './VmIdentity.js';

/** Peer as other tasks see it. */
export interface PeerView {
  readonly identity: vmIdentity.VmIdentity;
  /** `starting`: reachable, but it does not serve yet. */
  readonly state: 'reachable' | 'starting' | 'suspected' | 'unreachable' | 'leaving';
}

/** Published to the tasks that choose VMs, whenever the view changes. */
export interface ViewChanged {
  readonly type: 'view-changed';
  /** All known peers without this VM itself. */
  readonly peers: readonly PeerView[];
}

/** Message to the `PeerTask`. */
export type PeerTaskMessage =
  | { readonly type: 'envelope'; readonly envelope: peerMessage.PeerEnvelope }
  | { readonly type: 'list'; readonly entries: readonly listEntry.EntryVmListEntry[] }
  /** Sends to one peer by name. Dropped if the peer is not known. */
  | { readonly type: 'send'; readonly to: string; readonly message: peerMessage.PeerMessage }
  /** Sends to the other VMs of the fronting set of a service. */
  | { readonly type: 'send-to-fronting'; readonly service: string; readonly message: peerMessage.PeerMessage }
  | { readonly type: 'fronting-requested'; readonly service: string; readonly replyTo: tasks.Mailbox<upstreams.UpstreamMessage> }
  /** Sends to all active peers at once. */
  | { readonly type: 'push'; readonly message: peerMessage.PeerMessage }
  /** The transport received something that is no peer message. */
  | { readonly type: 'invalid'; readonly detail: string }
  /** The transport could not deliver to a peer. */
  | { readonly type: 'delivery-failed'; readonly to: string }
  | contracts.DocumentAccepted
  /** Newest document that this VM holds, in force or not, and whether it lacks a newer one that a peer named for a while. */
  | { readonly type: 'document-freshness'; readonly held: contracts.DocumentReference | undefined; readonly freshness: 'current' | 'stale' }
  | { readonly type: 'ejections-changed'; readonly notice: upstreams.EjectionNotice }
  | { readonly type: 'state-changed'; readonly state: 'serving' | 'leaving' }
  | { readonly type: 'status-requested'; readonly replyTo: tasks.Mailbox<PeerStatus> }
  | { readonly type: 'tick' };

/** State of the view for the status page. */
export interface PeerStatus {
  readonly type: 'peer-status';
  readonly peers: readonly PeerView[];
  readonly droppedMessages: number;
}
