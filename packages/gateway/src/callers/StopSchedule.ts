/** Times of a planned stop of the VM, which limit the requests that it still accepts. Before a stop, nothing is limited. */
export class StopSchedule {
  private acceptsUntilMs = Infinity;

  private endsAtMs = Infinity;

  /**
   * Begins the stop.
   * @param acceptsUntilMs - Time after which no request is accepted that may take longer than the process runs.
   * @param endsAtMs - Time at which all requests must have an outcome.
   */
  begin(acceptsUntilMs: number, endsAtMs: number): void {
    this.acceptsUntilMs = acceptsUntilMs;
    this.endsAtMs = endsAtMs;
  }

  /**
   * Decides whether a request is accepted. An instance might still be processing it when this process ends; but most requests take much
   * less time than they are allowed, so that early in the stop it is better to try.
   * @param deadlineAtMs - Time until which the request is allowed to take.
   * @param nowMs - Current time.
   */
  decide(deadlineAtMs: number, nowMs: number): 'accept' | 'refuse' {
    return nowMs > this.acceptsUntilMs && deadlineAtMs > this.endsAtMs ? 'refuse' : 'accept';
  }

  /**
   * Limits the deadline of a request, so that it has an outcome before the process ends.
   * @param deadlineAtMs - Time until which the request is allowed to take.
   */
  limitDeadline(deadlineAtMs: number): number {
    return Math.min(deadlineAtMs, this.endsAtMs);
  }
}
