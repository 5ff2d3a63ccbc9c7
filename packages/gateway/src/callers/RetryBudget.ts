// Spans of the sum: the window of the rule is ten seconds, kept here in steps of one.
const STEP_MS = 1_000;

/** Options of a `RepeatBudget`. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed on top in each window. */
  readonly slack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

interface Step {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Bounds the repeats that a VM sends to a service in any sliding window. */
export class RetryBudget {
  private readonly steps: Step[] = [];

  /** @param options - Bounds of this VM's share. */
  constructor(private options: RetryBudgetOptions) {}

  /**
   * Takes changed bounds; what was counted stays counted.
   * @param options - Bounds of this VM's share.
   */
  applyOptions(options: RetryBudgetOptions): void {
    this.options = options;
  }

  /**
   * Counts a request of a caller.
   * @param nowMs - Present time.
   */
  addRequest(nowMs: number): void {
    this.getStep(nowMs).requests += 1;
  }

  /**
   * Takes one repeat and tells whether it may be sent.
   * @param nowMs - Present time.
   */
  take(nowMs: number): boolean {
    const step = this.getStep(nowMs);
    const requests = this.steps.reduce((sum, counted) => sum + counted.requests, 0);
    const repeats = this.steps.reduce((sum, counted) => sum + counted.repeats, 0);
    if (repeats + 1 > requests * this.options.ratio + this.options.slack) return false;
    step.repeats += 1;
    return true;
  }

  private getStep(nowMs: number): Step {
    const startMs = Math.floor(nowMs / STEP_MS) * STEP_MS;
    const latest = this.steps[this.steps.length - 1];
    if (latest?.startMs === startMs) return latest;
    while (this.steps[0] !== undefined && this.steps[0].startMs <= startMs - this.options.windowMs) this.steps.shift();
    const opened: Step = { startMs, requests: 0, repeats: 0 };
    this.steps.push(opened);
    return opened;
  }
}
