/** State of one request at the stand-in. */
type RequestState = 'accepted' | 'run' | 'cancelled';

/** Keeps which requests ran, how often each operation ran, and which requests were cancelled. */
export class RunRegister {
  private readonly states = new Map<string, RequestState>();

  private readonly runs = new Map<string, number>();

  /**
   * Accepts a request, unless it was cancelled before it arrived.
   * @param requestId - Id of the request.
   */
  accept(requestId: string): 'accepted' | 'cancelled' {
    if (this.states.get(requestId) === 'cancelled') return 'cancelled';
    this.states.set(requestId, 'accepted');
    return 'accepted';
  }

  /**
   * Runs an accepted request, unless it was cancelled meanwhile.
   * @param requestId - Id of the request.
   * @param operationId - Id of its operation, if it has one.
   */
  run(requestId: string, operationId: string | undefined): 'run' | 'cancelled' {
    if (this.states.get(requestId) === 'cancelled') return 'cancelled';
    this.states.set(requestId, 'run');
    if (operationId !== undefined) this.runs.set(operationId, (this.runs.get(operationId) ?? 0) + 1);
    return 'run';
  }

  /**
   * Cancels a request that has not run. A request that is not known yet is refused when it arrives.
   * @param requestId - Id of the request.
   */
  cancel(requestId: string): 'run' | 'cancelled' {
    if (this.states.get(requestId) === 'run') return 'run';
    this.states.set(requestId, 'cancelled');
    return 'cancelled';
  }

  /** Counts the runs of each operation. */
  countRuns(): ReadonlyMap<string, number> {
    return this.runs;
  }
}
