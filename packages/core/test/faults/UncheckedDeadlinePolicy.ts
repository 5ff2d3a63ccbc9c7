import * as core from '@tamarackferry/core';

/** Fault: sends attempts after the deadline. */
export class UncheckedDeadlinePolicy extends core.callers.DeadlinePolicy {
  override canDispatch(): boolean {
    return true;
  }
}
