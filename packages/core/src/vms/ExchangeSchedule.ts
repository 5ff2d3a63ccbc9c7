import type * as randomness from '../randomness/index.js';
import type * as peerModule from './Peer.js';

const PEERS_PER_TICK = 2;

// A VM that starts waits for the answers of two peers, some of which may be gone.
const PEERS_PER_TICK_STARTING = 6;

/** Chooses the peers that this VM makes an exchange with in one tick. */
export class ExchangeSchedule {
  /** @param random - Source of randomness. */
  constructor(private readonly random: randomness.RandomSource) {}

  /**
   * Chooses peers: at most half of the tick goes to peers that owe an answer, the rest to those that were asked longest ago.
   * @param peers - Active peers.
   * @param state - State of this VM.
   * @param nowMs - Present time in milliseconds.
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
