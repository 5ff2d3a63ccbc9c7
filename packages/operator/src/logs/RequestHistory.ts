import type * as logLine from './LogLine.js';
import type * as processLog from './ProcessLog.js';

const OUTCOME_EVENTS: readonly string[] = ['request-answered', 'request-refused', 'request-abandoned'];

// Gray-failure episodes last about ten seconds.
const GRAY_EPISODE_MS = 10_000;

/** Outcome of a request at the VM; `unknown` if the log has no line with its outcome. */
export type RequestOutcome = 'answered' | 'refused' | 'abandoned' | 'unknown';

/** Log lines of one request, with access to the other lines of the same process run and to other runs. */
export class RequestHistory {
  readonly lines: readonly logLine.LogLine[];

  /**
   * @param id - Id of the request.
   * @param run - Log of the process run that received the request.
   * @param runs - Logs of all process runs.
   */
  constructor(readonly id: string, readonly run: processLog.ProcessLog, private readonly runs: readonly processLog.ProcessLog[]) {
    this.lines = run.listLines().filter((line) => line.fields['id'] === id);
  }

  /** Gets the log line with the outcome of the request, or undefined if it was not logged. */
  getOutcomeLine(): logLine.LogLine | undefined {
    return this.lines.find((line) => OUTCOME_EVENTS.includes(line.event));
  }

  /** Gets the outcome of the request. */
  getOutcome(): RequestOutcome {
    const event = this.getOutcomeLine()?.event;
    if (event === 'request-answered') return 'answered';
    if (event === 'request-refused') return 'refused';
    return event === 'request-abandoned' ? 'abandoned' : 'unknown';
  }

  /** Gets the reason that the VM logged with the outcome, for example why it refused the request; undefined if it logged none. */
  getReason(): string | undefined {
    return this.readText(this.getOutcomeLine(), 'reason');
  }

  /** Gets the time from the arrival of the request to its outcome, in milliseconds; 0 if it was not logged. */
  getElapsedMs(): number {
    return this.readNumber(this.getOutcomeLine(), 'elapsedMs');
  }

  /** Lists the log lines of the failed attempts of the request. */
  listFailedAttempts(): readonly logLine.LogLine[] {
    return this.lines.filter((line) => line.event === 'attempt-failed');
  }

  /**
   * Lists the log lines of the failed attempts with one of the given endings.
   * @param endings - Values of the field `ending`, such as `reset`.
   */
  listFailedAttemptsByEnding(endings: readonly string[]): readonly logLine.LogLine[] {
    return this.listFailedAttempts().filter((line) => endings.includes(this.readText(line, 'ending') ?? ''));
  }

  /** Gets the number of attempts of the request; 0 if it was not logged. */
  getAttemptCount(): number {
    return this.readNumber(this.getOutcomeLine(), 'attempts');
  }

  /** Computes the median latency of the other answered requests of the same route and run, in milliseconds; undefined if none is logged. */
  computeMedianLatencyMs(): number | undefined {
    const route = this.readText(this.getOutcomeLine(), 'route');
    const latencies = this.run.listLines()
      .filter((line) => line.event === 'request-answered' && line.fields['route'] === route && line.fields['id'] !== this.id)
      .map((line) => this.readNumber(line, 'elapsedMs'))
      .sort((left, right) => left - right);
    return latencies[Math.floor(latencies.length / 2)];
  }

  /** Finds the configuration version in force at the outcome of the request, and for how long it had been. Undefined if none is logged. */
  findConfigurationInForce(): { readonly version: unknown; readonly ageMs: number } | undefined {
    const endMs = this.getOutcomeLine()?.ms ?? 0;
    const line = this.run.findLastLine('configuration-in-force', endMs);
    return line === undefined ? undefined : { version: line.fields['version'], ageMs: endMs - line.ms };
  }

  /**
   * Counts the failed attempts at an instance: in this run within 10 s before or after the outcome, in other runs at any time.
   * @param instance - Id of the instance.
   */
  countInstanceFailures(instance: string): { readonly own: number; readonly others: number } {
    const endMs = this.getOutcomeLine()?.ms ?? 0;
    const own = this.run.listFailedAttempts(instance, endMs - GRAY_EPISODE_MS, endMs + GRAY_EPISODE_MS).length;
    // Clocks of VMs differ, so the failed attempts of other runs count regardless of their time.
    const all = this.runs.reduce((sum, run) => sum + run.listFailedAttempts(instance, -Infinity, Infinity).length, 0);
    return { own, others: all - this.run.listFailedAttempts(instance, -Infinity, Infinity).length };
  }

  /**
   * Reads a text field of a log line; undefined if it is absent or not a text.
   * @param line - Log line.
   * @param field - Name of the field.
   */
  readText(line: logLine.LogLine | undefined, field: string): string | undefined {
    const value = line?.fields[field];
    return typeof value === 'string' ? value : undefined;
  }

  /**
   * Reads a number field of a log line; 0 if it is absent or not a number.
   * @param line - Log line.
   * @param field - Name of the field.
   */
  readNumber(line: logLine.LogLine | undefined, field: string): number {
    const value = line?.fields[field];
    return typeof value === 'number' ? value : 0;
  }
}
