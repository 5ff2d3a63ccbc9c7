const MAX_DEADLINE_MS = 120_000;

// For a request of unknown kind whose home VM may know the kind.
const FALLBACK_DEADLINE_MS = 10_000;

const RUN_ON_MS = 30_000;

/** Rules for the deadlines of requests. */
export class DeadlinePolicy {
  /**
   * Computes the time that a request has, in milliseconds.
   * @param askedMs - Time that the caller gave, if any.
   * @param declaredMs - Deadline of the kind, if it is known.
   */
  computeDeadlineMs(askedMs: number | undefined, declaredMs: number | undefined): number {
    const declared = declaredMs ?? FALLBACK_DEADLINE_MS;
    return askedMs === undefined || Number.isNaN(askedMs) ? declared : Math.min(askedMs, Math.max(MAX_DEADLINE_MS, declared));
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
    return RUN_ON_MS;
  }
}
