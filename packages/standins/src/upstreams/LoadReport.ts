import type * as upstreamMode from './UpstreamMode.js';

/** Options of a `LoadReport`. */
export interface LoadReportOptions {
  readonly state: upstreamMode.ReportState;
  readonly lagMs: number;
}

const LEAST_TRIM_LENGTH = 1_024;

interface Sample {
  readonly atMs: number;
  readonly used: number;
}

/** What the stand-in reports about its load. */
export class LoadReport {
  private samples: Sample[] = [{ atMs: 0, used: 0 }];

  private trimAtLength = LEAST_TRIM_LENGTH;

  /** @param options - How truthful the report is. */
  constructor(private options: LoadReportOptions) {}

  /**
   * Changes how truthful the report is.
   * @param state - New state.
   */
  setState(state: upstreamMode.ReportState): void {
    this.options = { ...this.options, state };
  }

  /**
   * Records a change of the load.
   * @param sample - Time and slots in use.
   */
  record(sample: Sample): void {
    this.samples.push(sample);
    if (this.samples.length < this.trimAtLength) return;
    const oldest = this.samples.findLastIndex((past) => past.atMs <= sample.atMs - this.options.lagMs);
    this.samples = this.samples.slice(Math.max(0, oldest));
    // Trimming at twice the length keeps the cost of a sample constant.
    this.trimAtLength = Math.max(LEAST_TRIM_LENGTH, this.samples.length * 2);
  }

  /**
   * Gets the slots in use that are reported.
   * @param nowMs - Present time.
   */
  getUsed(nowMs: number): number {
    if (this.options.state === 'misleading') return 0;
    const atMs = this.options.state === 'lagging' ? nowMs - this.options.lagMs : nowMs;
    return this.samples.findLast((sample) => sample.atMs <= atMs)?.used ?? 0;
  }
}
