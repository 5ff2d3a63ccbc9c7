import * as places from '../places/index.js';
import type * as randomness from '../randomness/index.js';
import type * as listEntry from './ListEntry.js';
import * as peerModule from './Peer.js';
import type * as peerRules from './PeerRules.js';
import type * as vmIdentity from './VmIdentity.js';

const MAX_ACTIVE_PEERS = 24;

// A peer that is missing from the platform's list is kept for this time after its last message.
const ABSENT_RETENTION_MS = 60_000;

const MAX_KNOWN_PEERS = 10_000;

/** Options of a `PartialView`. */
export interface PartialViewOptions {
  /** Identity of this VM, which is not its own peer. */
  readonly identity: vmIdentity.VmIdentity;
  readonly random: randomness.RandomSource;
  readonly rules: peerRules.PeerRules;
}

/** Known peers, and the bounded subset of active peers that this VM regularly sends exchanges to. */
export class PartialView {
  private readonly peers = new Map<string, peerModule.Peer>();

  private active: peerModule.Peer[] = [];

  /** @param options - Identity, randomness and rules. */
  constructor(private readonly options: PartialViewOptions) {}

  /** Lists all known peers. */
  listPeers(): peerModule.Peer[] {
    return [...this.peers.values()];
  }

  /** Lists the active peers. */
  listActive(): readonly peerModule.Peer[] {
    return this.active;
  }

  /**
   * Finds a known peer.
   * @param name - Name of the VM.
   */
  findPeer(name: string): peerModule.Peer | undefined {
    return this.peers.get(name);
  }

  /**
   * Adds a peer unless it is already known.
   * @param identity - Address of the VM.
   * @param nowMs - Current time in milliseconds.
   * @returns The known or added peer; undefined if the identity is that of this VM or the limit of known peers is reached.
   */
  addPeer(identity: vmIdentity.VmIdentity, nowMs: number): peerModule.Peer | undefined {
    const known = this.peers.get(identity.name);
    if (known !== undefined) return known;
    if (identity.name === this.options.identity.name || this.peers.size >= MAX_KNOWN_PEERS) return undefined;
    const peer = new peerModule.Peer(identity, nowMs, this.options.rules);
    this.peers.set(identity.name, peer);
    if (this.active.length < MAX_ACTIVE_PEERS) this.active.push(peer);
    return peer;
  }

  /**
   * Applies the platform's list, or the seed peers from the settings.
   * @param entries - Entry VMs of the list.
   * @param nowMs - Current time in milliseconds.
   * @returns Number of other VMs that are listed as live.
   */
  applyList(entries: readonly listEntry.EntryVmListEntry[], nowMs: number): number {
    const others = entries.filter((entry) => entry.name !== this.options.identity.name);
    this.peers.forEach((peer) => {
      // eslint-disable-next-line no-param-reassign -- the view owns its peers
      peer.listedState = 'absent';
    });
    const hasRoom = this.peers.size < MAX_ACTIVE_PEERS;
    others.forEach((entry) => {
      const {
        name, host, port, peerPort, place,
      } = entry;
      const address = {
        name, incarnation: '', host, port, peerPort, place,
      };
      const peer = this.addPeer(address, nowMs);
      if (peer === undefined) return;
      peer.listedState = entry.state;
      if (!peer.isIncarnationKnown()) peer.identity = address;
    });
    if (hasRoom && this.peers.size > MAX_ACTIVE_PEERS) this.fillActive();
    return others.filter((entry) => entry.state === 'live').length;
  }

  /**
   * Removes the peers that are missing from the list and have not sent a message recently.
   * @param nowMs - Current time in milliseconds.
   */
  pruneAbsent(nowMs: number): void {
    this.peers.forEach((peer, name) => {
      if (peer.listedState !== 'absent' || nowMs - Math.max(peer.lastReceivedMs, peer.addedMs) < ABSENT_RETENTION_MS) return;
      this.peers.delete(name);
      this.active = this.active.filter((other) => other !== peer);
    });
  }

  /** Replaces one active peer by an inactive one, so that every known peer is contacted from time to time. */
  rotateActive(): void {
    const { random } = this.options;
    if (this.peers.size <= this.active.length) return;
    const active = new Set(this.active);
    // Selects the peer whose latest contact is the oldest, which bounds the time until a stopped VM is detected.
    const inactive = this.listPeers().filter((peer) => !active.has(peer));
    const oldestMs = inactive.reduce((oldest, peer) => Math.min(oldest, peer.getLastContactMs()), Infinity);
    const candidate = random.pickItem(inactive.filter((peer) => peer.getLastContactMs() === oldestMs));
    if (candidate !== undefined) this.addActive(candidate);
  }

  /**
   * Makes a peer active. If the active set is full, the peer replaces another one, preferably of the same place.
   * @param candidate - Known peer.
   */
  addActive(candidate: peerModule.Peer): void {
    if (this.active.includes(candidate)) return;
    if (this.active.length >= MAX_ACTIVE_PEERS) {
      const samePlace = this.active.filter((peer) => peer.identity.place === candidate.identity.place);
      const pool = samePlace.length > 0 ? samePlace : this.active;
      const unreachable = pool.filter((peer) => peer.reachability.getState() === 'unreachable');
      const responsive = pool.filter((peer) => !peer.reachability.isAwaitingReply());
      const evicted = this.options.random.pickItem([unreachable, responsive].find((group) => group.length > 0) ?? []);
      if (evicted === undefined) return;
      this.active = this.active.filter((peer) => peer !== evicted);
    }
    this.active.push(candidate);
  }

  /**
   * Samples active peers that sent a message recently and are not leaving.
   * @param count - Maximum number of peers.
   * @param nowMs - Current time in milliseconds.
   */
  sampleRecentPeers(count: number, nowMs: number): vmIdentity.VmIdentity[] {
    const recent = this.active.filter((peer) => nowMs - peer.lastReceivedMs < ABSENT_RETENTION_MS / 2 && peer.reportedState !== 'leaving');
    // Drawing with replacement sometimes gives a smaller sample, but costs less than shuffling all peers for each message.
    const drawn = Array.from({ length: count }, () => this.options.random.pickItem(recent));
    return [...new Set(drawn)].flatMap((peer) => peer?.identity ?? []);
  }

  private fillActive(): void {
    const shuffled = this.options.random.shuffleItems(this.listPeers());
    this.active = places.PlaceSpread.takeEvenly(shuffled, (peer) => peer.identity.place, MAX_ACTIVE_PEERS);
  }
}
