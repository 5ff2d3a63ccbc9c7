import type * as vmLoad from './VmLoad.js';

// Length of the intervals of which the largest value is kept.
const INTERVAL_MS = 250;

/**
 * Keeps the largest demand of a place of a recent span. Load pattern: bursts that follow each other. The number of VMs for callers grows
 * with the demand at once, and shrinks when no demand of the span needs as many.
 */
export class DemandHold {
  private readonly intervals: { index: number; cores: number; linkMbps: number }[] = [];

  /** @param spanMs - Time for which a demand is kept, in milliseconds. */
  constructor(private spanMs: number) {}

  /**
   * Changes the time for which a demand is kept.
   * @param spanMs - Time, in milliseconds.
   */
  setSpan(spanMs: number): void {
    this.spanMs = spanMs;
  }

  /** Gets the time for which a demand is kept, in milliseconds. */
  getSpanMs(): number {
    return this.spanMs;
  }

  /**
   * Records the present demand.
   * @param demand - Demand.
   * @param nowMs - Current time.
   */
  record(demand: vmLoad.PlaceDemand, nowMs: number): void {
    const index = Math.floor(nowMs / INTERVAL_MS);
    const last = this.intervals.at(-1);
    if (last?.index === index) {
      last.cores = Math.max(last.cores, demand.cores);
      last.linkMbps = Math.max(last.linkMbps, demand.linkMbps);
    } else this.intervals.push({ index, ...demand });
    while (this.intervals[0] !== undefined && (this.intervals[0].index + 1) * INTERVAL_MS <= nowMs - this.spanMs) this.intervals.shift();
  }

  /** Computes the largest demand of the span. */
  computeDemand(): vmLoad.PlaceDemand {
    return DemandHold.computeLargest(this.intervals);
  }

  /**
   * Computes the largest of several demands, separately for each resource.
   * @param demands - Demands.
   */
  static computeLargest(demands: readonly vmLoad.PlaceDemand[]): vmLoad.PlaceDemand {
    return {
      cores: Math.max(0, ...demands.map((demand) => demand.cores)),
      linkMbps: Math.max(0, ...demands.map((demand) => demand.linkMbps)),
    };
  }
}
