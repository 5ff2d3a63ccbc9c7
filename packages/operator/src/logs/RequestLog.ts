import type * as logLine from './LogLine.js';
import type * as processLog from './ProcessLog.js';

const OUTCOME_EVENTS: readonly string[] = ['request-answered', 'request-refused', 'request-abandoned'];

// Gray spells last about ten seconds.
const GRAY_EPISODE_MS = 10_000;

/** What became of a request at the VM. */
export type RequestOutcome = 'answered' | 'refused' | 'abandoned' | 'unknown';

/** All that is logged of one request, with what its VM knew. */
export class RequestLog {
  readonly lines: readonly logLine.LogLine[];

  /**
   * @param id - Id of the request.
   * @param run - Run of the process that it reached.
   * @param runs - Runs of all processes.
   */
  constructor(readonly id: string, readonly run: processLog.ProcessLog, private readonly runs: readonly processLog.ProcessLog[]) {
    this.lines = run.listLines().filter((line) => line.fields['id'] === id);
  }

  /** Gets the line that ends the request, or undefined if it was left out of the log. */
  getOutcomeLine(): logLine.LogLine | undefined {
    return this.lines.find((line) => OUTCOME_EVENTS.includes(line.event));
  }

  /** Gets what became of it. */
  getOutcome(): RequestOutcome {
    const event = this.getOutcomeLine()?.event;
    if (event === 'request-answered') return 'answered';
    if (event === 'request-refused') return 'refused';
    return event === 'request-abandoned' ? 'abandoned' : 'unknown';
  }

  /** Gets why the VM answered itself, or undefined. */
  getReason(): string | undefined {
    return this.readText(this.getOutcomeLine(), 'reason');
  }

  /** Gets the time from its arrival to its end, in milliseconds. */
  getElapsedMs(): number {
    return this.readNumber(this.getOutcomeLine(), 'elapsedMs');
  }

  /** Lists its attempts that brought no good answer. */
  listFailedAttempts(): readonly logLine.LogLine[] {
    return this.lines.filter((line) => line.event === 'attempt-failed');
  }

  /**
   * Lists its failed attempts that ended in one of several ways.
   * @param endings - Ways in which attempts end.
   */
  listFailedAttemptsByEnding(endings: readonly string[]): readonly logLine.LogLine[] {
    return this.listFailedAttempts().filter((line) => endings.includes(this.readText(line, 'ending') ?? ''));
  }

  /** Counts its attempts. */
  getAttemptCount(): number {
    return this.readNumber(this.getOutcomeLine(), 'attempts');
  }

  /** Computes the median time of answered requests of its route at its VM, in milliseconds, or undefined if none is logged. */
  computeMedianLatencyMs(): number | undefined {
    const route = this.readText(this.getOutcomeLine(), 'route');
    const times = this.run.listLines()
      .filter((line) => line.event === 'request-answered' && line.fields['route'] === route && line.fields['id'] !== this.id)
      .map((line) => this.readNumber(line, 'elapsedMs'))
      .sort((left, right) => left - right);
    return times[Math.floor(times.length / 2)];
  }

  /** Computes the time since the VM got the version in force, in milliseconds, or undefined if none is logged. */
  findConfigurationInForce(): { readonly version: unknown; readonly ageMs: number } | undefined {
    const endMs = this.getOutcomeLine()?.ms ?? 0;
    const line = this.run.findLastLine('configuration-in-force', endMs);
    return line === undefined ? undefined : { version: line.fields['version'], ageMs: endMs - line.ms };
  }

  /**
   * Counts the failed attempts at an instance around the end of the request: of this VM, and of the others.
   * @param instance - Id of the instance.
   */
  countInstanceFailures(instance: string): { readonly own: number; readonly others: number } {
    const endMs = this.getOutcomeLine()?.ms ?? 0;
    const own = this.run.listFailedAttempts(instance, endMs - GRAY_EPISODE_MS, endMs + GRAY_EPISODE_MS).length;
    // Clocks of VMs differ: for the others any time counts.
    const all = this.runs.reduce((sum, run) => sum + run.listFailedAttempts(instance, -Infinity, Infinity).length, 0);
    return { own, others: all - this.run.listFailedAttempts(instance, -Infinity, Infinity).length };
  }

  /**
   * Reads a text field.
   * @param line - Line.
   * @param field - Name of the field.
   */
  readText(line: logLine.LogLine | undefined, field: string): string | undefined {
    const value = line?.fields[field];
    return typeof value === 'string' ? value : undefined;
  }

  /**
   * Reads a number, 0 if the line does not have it.
   * @param line - Line.
   * @param field - Name of the field.
   */
  readNumber(line: logLine.LogLine | undefined, field: string): number {
    const value = line?.fields[field];
    return typeof value === 'number' ? value : 0;
  }
}
