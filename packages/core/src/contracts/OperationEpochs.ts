const EPOCH_MS = 60_000;

const ADMITTED_EPOCHS = 10;

/** Rule for the epochs of one incarnation: which one issues prefixes and which ones may still run operations. */
export class OperationEpochs {
  /** @param startedAtMs - Monotonic time at which the incarnation started, in milliseconds. */
  constructor(private readonly startedAtMs: number) {}

  /**
   * Computes the epoch that issues prefixes.
   * @param nowMs - Monotonic time in milliseconds.
   */
  computeCurrent(nowMs: number): number {
    return Math.floor((nowMs - this.startedAtMs) / EPOCH_MS);
  }

  /**
   * Tells whether operations of an epoch may run. An epoch that closed stays closed, since the clock is monotonic.
   * @param epoch - Epoch of an operation id.
   * @param nowMs - Monotonic time in milliseconds.
   */
  isAdmitted(epoch: number, nowMs: number): boolean {
    const current = this.computeCurrent(nowMs);
    return epoch <= current && epoch > current - ADMITTED_EPOCHS;
  }
}
