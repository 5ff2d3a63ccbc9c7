import * as core from '@tamarackferry/core';

/** Fault: sends attempts after the deadline. */
export class LateDeadlinePolicy extends core.callers.DeadlinePolicy {
  override canDispatch(): boolean {
    return true;
  }
}
