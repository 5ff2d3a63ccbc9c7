import * as core from '@tamarackferry/core';

/** Deliberate fault for tests: allows sending an attempt after the deadline. */
export class UncheckedDeadlinePolicy extends core.callers.DeadlinePolicy {
  override canDispatch(): boolean {
    return true;
  }
}
