import type * as upstreams from '../upstreams/index.js';
import type * as peerModule from './Peer.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmIdentity from './VmIdentity.js';

/** What the parts of the `PeerTask` ask of it. */
export interface PeerActions {
  /**
   * Sends an exchange to a peer and records that the peer owes an answer.
   * @param peer - Peer to ask.
   */
  requestExchange(peer: peerModule.Peer): void;

  /**
   * Sends an exchange without recording it.
   * @param to - Receiver.
   * @param direction - Whether an exchange is asked for in return.
   */
  sendExchange(to: vmIdentity.VmIdentity, direction: 'request' | 'reply'): void;

  /**
   * Sends any message to a VM.
   * @param to - Receiver.
   * @param message - Message to send.
   */
  sendMessage(to: vmIdentity.VmIdentity, message: peerMessage.PeerMessage): void;

  /**
   * Records drain notices, and passes on those that are new.
   * @param notices - Notices that were learned.
   * @param source - Whether an upstream of this VM or a peer gave them.
   */
  recordDrains(notices: readonly upstreams.DrainNotice[], source: 'own' | 'peer'): void;

  /**
   * Publishes the view if a peer has changed.
   * @param peer - Peer that may have changed.
   */
  publishPeer(peer: peerModule.Peer): void;
}
