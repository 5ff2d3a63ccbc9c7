import type * as core from '@tamarackferry/core';

// A holder with less is not evicted: it gains little, and short answers must get through while long ones fill the budget.
const MIN_EVICTED_BYTES = 65_536;

// Holders are kept by the binary order of magnitude of their bytes.
const SIZE_CLASSES = 48;

// Holders of 64 KiB and more are large: the runtime keeps their memory outside its heap, and frees it late.
const LARGE_CLASS = 16;

// Fewer large holders are no crowd: a few uploads at a time are usual.
const MIN_CROWD = 4;

// Share of the limit from which on memory is short.
const SHORT_SHARE = 0.8;

/** Holder of buffered data that counts towards a `ByteBudget`. */
export interface ByteHolder {
  /** Whether the data can be given up now. A holder that is not evictable never becomes so again. */
  readonly isEvictable: () => boolean;
  /** Gives up the buffered data, because the budget is exceeded and no other holder has more. It must release its bytes. */
  readonly evict: () => void;
}

/** Rules of a `ByteBudget` about the holder that is evicted first. */
export interface EvictionRules {
  /** Holders with less are not evicted. */
  readonly minEvictedBytes: number;
  /**
   * Share of the limit that holders which can be evicted may take together while several of them are large. What was evicted stays in
   * memory until it is collected, so large holders that come and go need room beside the limit. A single large one may use all of it.
   */
  readonly crowdShare: number;
  /** Time after which a holder that does not grow is evicted before larger ones, in milliseconds. */
  readonly stalledMs: number;
  readonly timers: Pick<core.time.TimerService, 'getNowMs'>;
}

interface Holding {
  bytes: number;
  grownAtMs: number;
}

const DEFAULT_RULES: EvictionRules = {
  minEvictedBytes: MIN_EVICTED_BYTES, crowdShare: 1, stalledMs: Infinity, timers: { getNowMs: () => 0 },
};

/**
 * Limit on the data that many connections buffer together. If it is exceeded, an evictable holder is evicted: one that has stalled, or else
 * one of those with the most data, so that peers that send without end do not take the memory of the others. The time that an eviction
 * takes does not depend on the number of holders.
 */
export class ByteBudget {
  private readonly holdings = new Map<ByteHolder, Holding>();

  // Holders that may be evictable, by the time of their last growth. They move to the end when they grow.
  private readonly byGrowth = new Set<ByteHolder>();

  // The same holders by size class. Within a class, the one that entered it first comes first.
  private readonly bySize = Array.from({ length: SIZE_CLASSES }, () => new Set<ByteHolder>());

  private heldBytes = 0;

  // Bytes of the holders that may be evictable.
  private evictableBytes = 0;

  /**
   * @param limitBytes - Number of bytes that all holders may have together.
   * @param rules - Which holder is evicted first.
   */
  constructor(private readonly limitBytes: number, private readonly rules = DEFAULT_RULES) {}

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
    this.track(holder, bytes);
    while (this.isExceeded()) if (!this.evictFirst()) return;
  }

  /**
   * Counts data that is held in any case, without evicting other holders for it.
   * @param holder - Holder of the data, which is not evictable.
   * @param bytes - Length of the data.
   */
  record(holder: ByteHolder, bytes: number): void {
    this.track(holder, bytes);
  }

  /**
   * Records that a holder is no longer evictable.
   * @param holder - Holder whose data is complete.
   */
  settle(holder: ByteHolder): void {
    const holding = this.holdings.get(holder);
    if (holding !== undefined) this.removeCandidate(holder, holding);
  }

  /** Counts the bytes beyond the part of the limit from which on memory is short. */
  countExcess(): number {
    return Math.max(0, this.heldBytes - this.limitBytes * SHORT_SHARE);
  }

  /** Evicts one holder. Returns false if none can be evicted. */
  evictFirst(): boolean {
    const first = this.findStalled() ?? this.findLargest();
    if (first === undefined) return false;
    this.release(first);
    first.evict();
    return true;
  }

  /**
   * Releases all bytes of a holder.
   * @param holder - Holder that has given up its data.
   */
  release(holder: ByteHolder): void {
    const holding = this.holdings.get(holder);
    if (holding === undefined) return;
    this.heldBytes -= holding.bytes;
    this.holdings.delete(holder);
    this.removeCandidate(holder, holding);
  }

  private isExceeded(): boolean {
    if (this.heldBytes > this.limitBytes) return true;
    return this.evictableBytes > this.limitBytes * this.rules.crowdShare && this.countLarge() >= MIN_CROWD;
  }

  private countLarge(): number {
    return this.bySize.slice(LARGE_CLASS).reduce((sum, holders) => sum + holders.size, 0);
  }

  private track(holder: ByteHolder, bytes: number): void {
    const nowMs = this.rules.timers.getNowMs();
    const holding = this.holdings.get(holder) ?? { bytes: 0, grownAtMs: nowMs };
    const previousClass = ByteBudget.computeSizeClass(holding.bytes);
    holding.bytes += bytes;
    holding.grownAtMs = nowMs;
    this.heldBytes += bytes;
    this.holdings.set(holder, holding);
    if (!holder.isEvictable()) {
      if (this.byGrowth.delete(holder)) this.evictableBytes -= holding.bytes - bytes;
      this.bySize[previousClass]!.delete(holder);
      return;
    }
    const sizeClass = ByteBudget.computeSizeClass(holding.bytes);
    if (sizeClass !== previousClass) this.bySize[previousClass]!.delete(holder);
    this.bySize[sizeClass]!.add(holder);
    this.evictableBytes += this.byGrowth.delete(holder) ? bytes : holding.bytes;
    this.byGrowth.add(holder);
  }

  private removeCandidate(holder: ByteHolder, holding: Holding): void {
    if (!this.byGrowth.delete(holder)) return;
    this.evictableBytes -= holding.bytes;
    this.bySize[ByteBudget.computeSizeClass(holding.bytes)]!.delete(holder);
  }

  private findStalled(): ByteHolder | undefined {
    const nowMs = this.rules.timers.getNowMs();
    return this.findIn(this.byGrowth, (holding) => nowMs - holding.grownAtMs >= this.rules.stalledMs);
  }

  private findLargest(): ByteHolder | undefined {
    // A loop, since each eviction runs it.
    const lowest = ByteBudget.computeSizeClass(this.rules.minEvictedBytes);
    for (let sizeClass = SIZE_CLASSES - 1; sizeClass >= lowest; sizeClass -= 1) {
      const found = this.findIn(this.bySize[sizeClass]!, () => true);
      if (found !== undefined) return found;
    }
    return undefined;
  }

  // Finds the first holder that is still evictable, if it matches. The others leave the set for good, so each is visited once.
  private findIn(candidates: Set<ByteHolder>, isMatch: (holding: Holding) => boolean): ByteHolder | undefined {
    // A loop, since each eviction runs it.
    for (const holder of candidates) {
      const holding = this.holdings.get(holder)!;
      if (holder.isEvictable()) return isMatch(holding) ? holder : undefined;
      this.removeCandidate(holder, holding);
    }
    return undefined;
  }

  private static computeSizeClass(bytes: number): number {
    return Math.min(SIZE_CLASSES - 1, Math.floor(Math.log2(Math.max(1, bytes))));
  }
}
