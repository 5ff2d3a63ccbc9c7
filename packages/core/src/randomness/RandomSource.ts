const TOKEN_ALPHABET = '0123456789abcdefghjkmnpqrstvwxyz';

/** The only source of randomness for the tasks of a VM. */
export abstract class RandomSource {
  /** Draws a number of at least 0 and below 1. */
  abstract drawFraction(): number;

  /**
   * Draws an integer of at least 0 and below a bound.
   * @param bound - Exclusive upper bound, at least 1.
   */
  drawInteger(bound: number): number {
    return Math.floor(this.drawFraction() * bound);
  }

  /**
   * Draws a token of lower-case letters and digits.
   * @param length - Number of characters; each holds 5 random bits.
   */
  drawToken(length: number): string {
    return Array.from({ length }, () => TOKEN_ALPHABET[this.drawInteger(TOKEN_ALPHABET.length)]).join('');
  }

  /**
   * Draws one item; undefined if there are none.
   * @param items - Items to draw from.
   */
  pickItem<Item>(items: readonly Item[]): Item | undefined {
    return items[this.drawInteger(items.length)];
  }

  /**
   * Returns the items in random order.
   * @param items - Items to shuffle; the array is not changed.
   */
  shuffleItems<Item>(items: readonly Item[]): Item[] {
    const shuffled = [...items];
    items.forEach((_, index) => {
      const other = index + this.drawInteger(shuffled.length - index);
      [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
    });
    return shuffled;
  }
}
