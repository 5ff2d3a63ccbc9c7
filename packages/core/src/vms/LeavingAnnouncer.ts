import type * as peerModule from './Peer.js';

const PEERS_PER_TICK = 48;

/** Selects the peers that a leaving VM notifies of its leaving in each tick. It cycles through all known peers until the VM stops. */
export class LeavingAnnouncer {
  private cursor = 0;

  /**
   * Selects the next peers to notify and advances the cycle.
   * @param peers - All known peers.
   */
  selectNext(peers: readonly peerModule.Peer[]): peerModule.Peer[] {
    const rotated = [...peers.slice(this.cursor), ...peers.slice(0, this.cursor)].slice(0, PEERS_PER_TICK);
    this.cursor = peers.length === 0 ? 0 : (this.cursor + rotated.length) % peers.length;
    return rotated;
  }
}
