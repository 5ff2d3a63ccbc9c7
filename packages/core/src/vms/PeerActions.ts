import type * as upstreams from '../upstreams/index.js';
import type * as peerModule from './Peer.js';
import type * as peerMessage from './PeerMessage.js';
import type * as vmIdentity from './VmIdentity.js';

/** Actions of the `PeerTask` that its parts call. */
export interface PeerActions {
  /**
   * Sends an exchange request to a peer and records that its reply is outstanding.
   * @param peer - Receiver.
   */
  requestExchange(peer: peerModule.Peer): void;

  /**
   * Sends an exchange without recording an outstanding reply.
   * @param to - Receiver.
   * @param direction - `request`: the receiver replies with an exchange.
   */
  sendExchange(to: vmIdentity.VmIdentity, direction: 'request' | 'reply'): void;

  /**
   * Sends any message to a VM.
   * @param to - Receiver.
   * @param message - Message to send.
   */
  sendMessage(to: vmIdentity.VmIdentity, message: peerMessage.PeerMessage): void;

  /**
   * Records drain notices and forwards the new ones to peers.
   * @param notices - Notices that were received.
   * @param source - Whether the notices were received from an upstream of this VM or from a peer.
   */
  recordDrains(notices: readonly upstreams.DrainNotice[], source: 'own' | 'peer'): void;

  /**
   * Publishes the peer view if a peer has changed.
   * @param peer - Peer that may have changed.
   */
  publishPeer(peer: peerModule.Peer): void;
}
