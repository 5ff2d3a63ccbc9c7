const WINDOW_SIZE = 64;

/** Recognizes duplicates and overtaken exchanges among the messages of one incarnation of a peer. */
export class SequenceWindow {
  private newestExchange = -1;

  private readonly recent: number[] = [];

  /**
   * Decides whether a message is to be handled, and remembers it.
   * @param sequence - Sequence number of the message.
   * @param kind - Exchanges describe a state, so an overtaken one is void; other messages stay valid when reordered.
   */
  accept(sequence: number, kind: 'exchange' | 'other'): 'fresh' | 'duplicate' | 'superseded' {
    if (this.recent.includes(sequence)) return 'duplicate';
    if (kind === 'exchange') {
      if (sequence < this.newestExchange) return 'superseded';
      this.newestExchange = sequence;
    }
    this.recent.push(sequence);
    if (this.recent.length > WINDOW_SIZE) this.recent.shift();
    return 'fresh';
  }
}
