import * as hdrHistogram from 'hdr-histogram-js';

const MAX_LATENCY_MS = 60_000;

/** Histogram of request latencies with a fixed memory size. */
export class LatencyHistogram {
  // Two significant digits limit a histogram to a few kilobytes.
  private readonly histogram = hdrHistogram.build({
    bitBucketSize: 32,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
  });

  /**
   * Records a latency.
   * @param latencyMs - Latency in milliseconds; values above 60 s are recorded as 60 s.
   */
  recordLatency(latencyMs: number): void {
    this.histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, Math.ceil(latencyMs))));
  }

  /** Computes latency quantiles and the maximum in milliseconds, each rounded up to the bound of its histogram bucket. */
  computeQuantiles(): { readonly p50: number; readonly p99: number; readonly max: number } {
    return {
      p50: this.histogram.getValueAtPercentile(50), p99: this.histogram.getValueAtPercentile(99), max: this.histogram.maxValue,
    };
  }

  /** Removes all latencies. */
  reset(): void {
    this.histogram.reset();
  }
}
