import type * as peerModule from './Peer.js';

const PEERS_PER_TICK = 48;

/** Chooses whom a leaving VM tells in each tick, so that every known VM is told, again and again until the VM stops. */
export class LeavingAnnouncer {
  private cursor = 0;

  /**
   * Takes the next peers to tell.
   * @param peers - All known peers.
   */
  takeNext(peers: readonly peerModule.Peer[]): peerModule.Peer[] {
    const rotated = [...peers.slice(this.cursor), ...peers.slice(0, this.cursor)].slice(0, PEERS_PER_TICK);
    this.cursor = peers.length === 0 ? 0 : (this.cursor + rotated.length) % peers.length;
    return rotated;
  }
}
