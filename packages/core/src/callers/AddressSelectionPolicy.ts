import * as places from '../places/index.js';
import type * as randomness from '../randomness/index.js';
import type * as vms from '../vms/index.js';

const MAX_ADDRESSES = 6;

/** Decides to which VMs callers may connect, and which of these addresses one answer lists. */
export class AddressSelectionPolicy {
  /** @param random - Source of randomness. */
  constructor(private readonly random: randomness.RandomSource) {}

  /**
   * Returns whether callers may connect to a peer.
   * @param peer - Peer in the current view of this VM.
   */
  isUsable(peer: vms.PeerView): boolean {
    return peer.state === 'reachable';
  }

  /**
   * Chooses the addresses of one answer: evenly from all places (availability zones), in random order to spread
   * callers over the VMs.
   * @param fronting - Fronting set of the service: the VMs to which its callers may connect.
   */
  chooseAddresses<Member extends places.FrontingCandidate>(fronting: readonly Member[]): Member[] {
    return places.PlaceSpread.takeEvenly(this.random.shuffleItems(fronting), (member) => member.place, MAX_ADDRESSES);
  }
}
