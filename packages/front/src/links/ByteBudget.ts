// A holder with less is not evicted: it gains little, and short answers must get through while long ones fill the budget.
const MIN_EVICTED_BYTES = 65_536;

/** Holder of buffered data that counts towards a `ByteBudget`. */
export interface ByteHolder {
  /** Whether the data can be given up now. */
  readonly isEvictable: () => boolean;
  /** Gives up the buffered data, because the budget is exceeded and no other holder has more. It must release its bytes. */
  readonly evict: () => void;
}

/**
 * Limit on the data that many connections buffer together. If it is exceeded, the evictable holder with the most data is evicted, so that
 * one peer that sends without end does not take the memory of the others.
 */
export class ByteBudget {
  private readonly holders = new Map<ByteHolder, number>();

  private heldBytes = 0;

  /** @param limitBytes - Number of bytes that all holders may have together. */
  constructor(private readonly limitBytes: number) {}

  /** Gets the number of bytes of all holders. */
  getHeldBytes(): number {
    return this.heldBytes;
  }

  /**
   * Counts buffered data, and evicts holders while the budget is exceeded.
   * @param holder - Holder of the data.
   * @param bytes - Length of the data.
   */
  add(holder: ByteHolder, bytes: number): void {
    this.holders.set(holder, (this.holders.get(holder) ?? 0) + bytes);
    this.heldBytes += bytes;
    while (this.heldBytes > this.limitBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.release(largest);
      largest.evict();
    }
  }

  /**
   * Releases all bytes of a holder.
   * @param holder - Holder that has given up its data.
   */
  release(holder: ByteHolder): void {
    this.heldBytes -= this.holders.get(holder) ?? 0;
    this.holders.delete(holder);
  }

  private findLargest(): ByteHolder | undefined {
    return [...this.holders].reduce<readonly [ByteHolder, number] | undefined>(
      (largest, entry) => (entry[0].isEvictable() && entry[1] >= (largest?.[1] ?? MIN_EVICTED_BYTES) ? entry : largest),
      undefined,
    )?.[0];
  }
}
