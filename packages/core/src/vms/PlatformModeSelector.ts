import * as places from '../places/index.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmIdentity from './VmIdentity.js';

const WATCHERS_PER_PLACE = 3;

const MODE_KEY = 'platform-watch';

/** Decides whether this VM watches the platform or polls it. */
export class PlatformModeSelector {
  /** @param identity - Identity of this VM. */
  constructor(private readonly identity: vmIdentity.VmIdentity) {}

  /**
   * Chooses the mode. Rendezvous hashing over the reachable VMs in the place of this VM selects those that watch; the others poll.
   * @param peers - Known peers.
   * @param state - State of this VM.
   * @param freshness - `stale` if a newer document is known and no peer has sent it; the VM then watches in any case.
   */
  chooseMode(
    peers: readonly peerTaskMessage.PeerView[],
    state: 'starting' | 'serving' | 'leaving',
    freshness: 'current' | 'stale',
  ): 'watch' | 'poll' {
    if (freshness === 'stale') return 'watch';
    if (state === 'leaving') return 'poll';
    const { name, place } = this.identity;
    const live = peers.filter((peer) => peer.identity.place === place && (peer.state === 'reachable' || peer.state === 'starting'));
    const names = [name, ...live.map((peer) => peer.identity.name)];
    const watchers = places.RendezvousHash.rankItems(MODE_KEY, names, (item) => item).slice(0, WATCHERS_PER_PLACE);
    return watchers.includes(name) ? 'watch' : 'poll';
  }
}
