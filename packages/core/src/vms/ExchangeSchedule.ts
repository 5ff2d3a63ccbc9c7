import type * as randomness from '../randomness/index.js';
import type * as peerModule from './Peer.js';

const PEERS_PER_TICK = 2;

// A starting VM waits for the replies of two peers. It contacts more than two, because some of them may have stopped.
const PEERS_PER_TICK_STARTING = 6;

/** Selects the peers that this VM sends an exchange request to in one tick. */
export class ExchangeSchedule {
  /** @param random - Source of randomness. */
  constructor(private readonly random: randomness.RandomSource) {}

  /**
   * Chooses peers in the order of the latest request to them, oldest first. Peers with an outstanding reply get at most half of
   * the requests of the tick, unless there are too few other peers.
   * @param peers - Active peers.
   * @param state - State of this VM.
   * @param nowMs - Current time in milliseconds.
   */
  choosePeers(peers: readonly peerModule.Peer[], state: 'starting' | 'serving' | 'leaving', nowMs: number): peerModule.Peer[] {
    const limit = state === 'starting' ? PEERS_PER_TICK_STARTING : PEERS_PER_TICK;
    const shuffled = this.random.shuffleItems(peers).sort((left, right) => left.lastRequestedMs - right.lastRequestedMs);
    const responsive = shuffled.filter((peer) => !peer.reachability.isAwaitingReply());
    const unresponsive = shuffled.filter((peer) => peer.reachability.isAwaitingReply() && peer.reachability.isRequestDue(nowMs));
    const retries = unresponsive.slice(0, Math.max(limit / 2, limit - responsive.length));
    return [...retries, ...responsive.slice(0, limit - retries.length)];
  }
}
