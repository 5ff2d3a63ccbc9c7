/** State of one request at the stand-in. */
type RequestState = 'accepted' | 'run' | 'cancelled';

/** Work that an instance took. */
export interface WorkCounts {
  /** Requests that took a slot. */
  readonly started: number;
  /** Runs of requests with an operation id, by path. */
  readonly runsByPath: Readonly<Record<string, number>>;
}

/** Keeps which requests ran, how often each operation ran, and which requests were cancelled. */
export class RunRegister {
  private readonly states = new Map<string, RequestState>();

  private readonly runs = new Map<string, number>();

  private readonly runsByPath = new Map<string, number>();

  private started = 0;

  /**
   * Accepts a request, unless it was cancelled before it arrived.
   * @param requestId - Id of the request.
   */
  accept(requestId: string): 'accepted' | 'cancelled' {
    if (this.states.get(requestId) === 'cancelled') return 'cancelled';
    this.states.set(requestId, 'accepted');
    this.started += 1;
    return 'accepted';
  }

  /**
   * Runs an accepted request, unless it was cancelled meanwhile.
   * @param requestId - Id of the request.
   * @param operationId - Id of its operation, if it has one.
   * @param path - Path of the request.
   */
  run(requestId: string, operationId: string | undefined, path = ''): 'run' | 'cancelled' {
    if (this.states.get(requestId) === 'cancelled') return 'cancelled';
    this.states.set(requestId, 'run');
    if (operationId !== undefined) {
      RunRegister.increment(this.runs, operationId);
      RunRegister.increment(this.runsByPath, path);
    }
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

  /** Counts the work that the instance took. */
  countWork(): WorkCounts {
    return { started: this.started, runsByPath: Object.fromEntries(this.runsByPath) };
  }

  private static increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
}
