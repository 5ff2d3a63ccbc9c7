const WINDOW_SIZE = 64;

/** Detects duplicate messages and superseded exchanges of one incarnation of a peer. */
export class SequenceWindow {
  private newestExchange = -1;

  private readonly recent: number[] = [];

  /**
   * Decides whether a message is to be handled, and records its sequence number.
   * @param sequence - Sequence number of the message.
   * @param kind - `exchange`: the message describes a state and is superseded by a newer one. `other`: the message stays valid
   * when it arrives out of order.
   */
  accept(sequence: number, kind: 'exchange' | 'other'): 'accepted' | 'duplicate' | 'superseded' {
    if (this.recent.includes(sequence)) return 'duplicate';
    if (kind === 'exchange') {
      if (sequence < this.newestExchange) return 'superseded';
      this.newestExchange = sequence;
    }
    this.recent.push(sequence);
    if (this.recent.length > WINDOW_SIZE) this.recent.shift();
    return 'accepted';
  }
}
