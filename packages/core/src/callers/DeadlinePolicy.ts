// Limits the deadlines given by callers, unless the kind declares a longer one.
const MAX_DEADLINE_MS = 120_000;

// For operations whose kind is not declared at this VM; the VM that runs them may have a newer document that declares it.
const UNDECLARED_KIND_DEADLINE_MS = 10_000;

const COMPLETION_GRACE_MS = 30_000;

/** Computes and checks the deadlines of requests. */
export class DeadlinePolicy {
  /**
   * Computes the time from the arrival of a request to its deadline, in milliseconds.
   * @param requestedMs - Time to the deadline as given by the caller, if any.
   * @param declaredMs - Deadline of the kind, if the kind is declared.
   */
  computeDeadlineMs(requestedMs: number | undefined, declaredMs: number | undefined): number {
    const declared = declaredMs ?? UNDECLARED_KIND_DEADLINE_MS;
    return requestedMs === undefined || Number.isNaN(requestedMs) ? declared : Math.min(requestedMs, Math.max(MAX_DEADLINE_MS, declared));
  }

  /**
   * Returns whether an attempt may be sent. Must be checked immediately before sending, because a VM whose process was paused
   * may reach that point after the deadline.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param deadlineAtMs - Deadline of the request on the same clock.
   */
  canDispatch(nowMs: number, deadlineAtMs: number): boolean {
    return nowMs < deadlineAtMs;
  }

  /** Gets the time for which an operation may continue after the deadline of its caller, in milliseconds. */
  getCompletionGraceMs(): number {
    return COMPLETION_GRACE_MS;
  }
}
