const EPOCH_MS = 60_000;

const ADMITTED_EPOCHS = 10;

/** Epochs of one incarnation: the current epoch, in which prefixes are issued, and the recent ones whose operations may still run. */
export class OperationEpochs {
  /** @param startedAtMs - Monotonic time at which the incarnation started, in milliseconds. */
  constructor(private readonly startedAtMs: number) {}

  /**
   * Computes the current epoch.
   * @param nowMs - Monotonic time in milliseconds.
   */
  computeCurrent(nowMs: number): number {
    return Math.floor((nowMs - this.startedAtMs) / EPOCH_MS);
  }

  /**
   * Whether operations of an epoch may run. A closed epoch stays closed, because the clock is monotonic.
   * @param epoch - Epoch of an operation id.
   * @param nowMs - Monotonic time in milliseconds.
   */
  isAdmitted(epoch: number, nowMs: number): boolean {
    const current = this.computeCurrent(nowMs);
    return epoch <= current && epoch > current - ADMITTED_EPOCHS;
  }
}
