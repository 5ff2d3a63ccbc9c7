import * as places from '../places/index.js';
import type * as randomness from '../randomness/index.js';
import type * as vms from '../vms/index.js';

const MAX_ADDRESSES = 6;

/** Chooses which VMs callers may be sent to, and which of them one answer names. */
export class AddressSelectionPolicy {
  /** @param random - Source of randomness. */
  constructor(private readonly random: randomness.RandomSource) {}

  /**
   * Whether callers may be sent to a peer.
   * @param peer - Peer as the view shows it.
   */
  isUsable(peer: vms.PeerView): boolean {
    return peer.state === 'reachable';
  }

  /**
   * Chooses the addresses of one answer: spread over all places, in an order that spreads callers over the VMs.
   * @param fronting - Members of the fronting set of the service.
   */
  chooseAddresses<Member extends places.FrontingCandidate>(fronting: readonly Member[]): Member[] {
    return places.PlaceSpread.takeEvenly(this.random.shuffleItems(fronting), (member) => member.place, MAX_ADDRESSES);
  }
}
