import type * as peerModule from './Peer.js';
import * as peerMessage from './PeerMessage.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';

/** Sends messages to peers, with the identity of this VM and an increasing sequence number. */
export class PeerSender {
  private nextSequence = 1;

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vmContext.VmContext) {}

  /**
   * Sends a message to one peer.
   * @param to - Receiver.
   * @param message - Message to send.
   */
  send(to: vmIdentity.VmIdentity, message: peerMessage.PeerMessage): void {
    this.context.outbox.post({
      type: 'send-peer',
      to,
      envelope: {
        format: peerMessage.PEER_FORMAT_VERSION, from: this.context.identity, sequence: this.nextSequence, message,
      },
    });
    this.nextSequence += 1;
  }

  /**
   * Sends a message to several peers.
   * @param peers - Receivers.
   * @param message - Message to send.
   */
  sendToAll(peers: readonly peerModule.Peer[], message: peerMessage.PeerMessage): void {
    peers.forEach((peer) => this.send(peer.identity, message));
  }
}
