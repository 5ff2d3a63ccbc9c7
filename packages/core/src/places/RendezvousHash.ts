const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Ranks names by rendezvous hashing: every VM computes the same order, and removing a name keeps the order of the others. */
export class RendezvousHash {
  /**
   * Computes the score of a name for a key, an unsigned 32-bit integer.
   * @param key - Key for which names are ranked.
   * @param name - Name to score.
   */
  static computeScore(key: string, name: string): number {
    const text = `${key}/${name}`;
    let hash = FNV_OFFSET;
    // A plain loop for speed: ranking a list of thousands of VMs hashes every name.
    for (let index = 0; index < text.length; index += 1) {
      // eslint-disable-next-line no-bitwise
      hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return RendezvousHash.hashBits(hash);
  }

  /**
   * Returns items in the order of their scores, highest first.
   * @param key - Key for which the items are ranked.
   * @param items - Items to rank; the array is not changed.
   * @param getName - Gets the name of an item, which must be unique.
   */
  static rankItems<Item>(key: string, items: readonly Item[], getName: (item: Item) => string): Item[] {
    return items
      .map((item) => ({ item, name: getName(item), score: RendezvousHash.computeScore(key, getName(item)) }))
      .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
      .map((ranked) => ranked.item);
  }

  // FNV gives similar values to names that differ only in the last character; the finalizer of MurmurHash3 separates them.
  private static hashBits(seed: number): number {
    /* eslint-disable no-bitwise */
    let hash = seed;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
    /* eslint-enable no-bitwise */
  }
}
