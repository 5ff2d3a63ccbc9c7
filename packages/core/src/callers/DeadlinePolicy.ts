const MAX_DEADLINE_MS = 120_000;

// For a request of unknown kind whose home VM may know the kind.
const UNDECLARED_KIND_DEADLINE_MS = 10_000;

const COMPLETION_GRACE_MS = 30_000;

/** Rules for the deadlines of requests. */
export class DeadlinePolicy {
  /**
   * Computes the time that a request has, in milliseconds.
   * @param requestedMs - Time that the caller gave, if any.
   * @param declaredMs - Deadline of the kind, if it is known.
   */
  computeDeadlineMs(requestedMs: number | undefined, declaredMs: number | undefined): number {
    const declared = declaredMs ?? UNDECLARED_KIND_DEADLINE_MS;
    return requestedMs === undefined || Number.isNaN(requestedMs) ? declared : Math.min(requestedMs, Math.max(MAX_DEADLINE_MS, declared));
  }

  /**
   * Tells whether an attempt may be sent. Asked at the moment of sending, since a paused VM resumes late.
   * @param nowMs - Monotonic time in milliseconds.
   * @param deadlineAtMs - Deadline of the request on the same clock.
   */
  canDispatch(nowMs: number, deadlineAtMs: number): boolean {
    return nowMs < deadlineAtMs;
  }

  /** Gets the time for which an operation may run on after the deadline of its caller, in milliseconds. */
  getCompletionGraceMs(): number {
    return COMPLETION_GRACE_MS;
  }
}
