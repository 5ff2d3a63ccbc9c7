import type * as demoCall from './DemoCall.js';

const LEAST_ANSWERED_SHARE = 0.9;
const PERCENTILES = { p50: 0.5, p99: 0.99 };

/** What was observed of one deployment. */
export interface DemoObservations {
  readonly calls: readonly demoCall.DemoCall[];
  /** Runs of each operation, by its path. */
  readonly runs: ReadonlyMap<string, number>;
  /** Latencies of reads that were also sent to an instance directly, by their paths. */
  readonly directLatenciesMs: ReadonlyMap<string, number>;
  /** Names of the ejected instances, once for each ejection at each VM. */
  readonly ejections: readonly string[];
  readonly grayInstance: string;
  readonly breaches: readonly string[];
  readonly versions: readonly number[];
  readonly expectedVersion: number;
  /** Requests that the drained instance took after the bound; undefined if it was not observed. */
  readonly lateDrainWork: number | undefined;
}

/** Figures of one deployment or of all. */
export interface DemoFigures {
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Wrong or foreign answers, and answers of operations that never ran. */
  readonly wrong: number;
  /** Operations that ran more than once. */
  readonly duplicates: number;
  /** Operations that ran although their caller was told "not run". */
  readonly falseNotRun: number;
  /** Requests without an answer, by outcome and reason. */
  readonly unansweredReasons: Readonly<Record<string, number>>;
  readonly ejections: number;
  /** Ejections of instances that were not gray. */
  readonly falseEjections: number;
  readonly floorBreaches: number;
  readonly configurationVersionsInForce: readonly number[];
  /** Requests that drained instances took after the bound. */
  readonly lateDrainWork: number;
  /** Percentiles over the reads before the faults: latency through the fleet less that of the same read sent to an instance directly. */
  readonly addedLatencyMs: { readonly p50: number; readonly p99: number };
}

/** One outcome that the run has to have. */
export interface DemoOutcome {
  readonly name: string;
  readonly state: 'held' | 'broken';
}

function computePercentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}

function computeTenths(valueMs: number): number {
  return Math.round(valueMs * 10) / 10;
}

function isOperation(call: demoCall.DemoCall): boolean {
  return call.stream.kind.repeatability === 'non-idempotent';
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Figures and outcomes of one run of the demo, over one deployment or several. */
export class DemoReport {
  /** @param observations - Observations, one for each deployment. */
  constructor(private readonly observations: readonly DemoObservations[]) {}

  /** Computes the figures. */
  computeFigures(): DemoFigures {
    const calls = this.observations.flatMap((each) => each.calls);
    const countOutcome = (outcome: demoCall.DemoCall['outcome']): number => calls.filter((call) => call.outcome === outcome).length;
    return {
      requests: calls.length,
      answered: countOutcome('answered'),
      notRun: countOutcome('not-run'),
      unknown: countOutcome('unknown'),
      wrong: calls.filter((call) => call.answer === 'wrong').length + this.countOperations('answered', (runs) => runs === 0),
      duplicates: sum(this.observations.map(({ runs }) => [...runs.values()].filter((count) => count > 1).length)),
      falseNotRun: this.countOperations('not-run', (runs) => runs > 0),
      unansweredReasons: DemoReport.countReasons(calls),
      ejections: sum(this.observations.map((each) => each.ejections.length)),
      falseEjections: sum(this.observations.map((each) => each.ejections.filter((name) => name !== each.grayInstance).length)),
      floorBreaches: sum(this.observations.map((each) => each.breaches.length)),
      configurationVersionsInForce: [...new Set(this.observations.flatMap((each) => each.versions))].sort(),
      lateDrainWork: sum(this.observations.map((each) => each.lateDrainWork ?? 0)),
      addedLatencyMs: this.computeAddedLatency(),
    };
  }

  /** Lists the outcomes that the run has to have. */
  listOutcomes(): readonly DemoOutcome[] {
    const figures = this.computeFigures();
    const checks: readonly (readonly [string, boolean])[] = [
      ['no wrong or foreign answer', figures.wrong === 0],
      ['no operation ran twice', figures.duplicates === 0],
      ['no operation ran that was reported as not run', figures.falseNotRun === 0],
      ['no capacity floor was breached', figures.floorBreaches === 0],
      ['drained instances got no new work after 5 s', this.observations.every((each) => each.lateDrainWork === 0)],
      ['the last document is in force at every VM', this.observations.every((each) => each.versions.join() === String(each.expectedVersion))],
      ['at least nine of ten requests were answered', figures.answered > 0 && figures.answered >= LEAST_ANSWERED_SHARE * figures.requests],
    ];
    return checks.map(([name, held]) => ({ name, state: held ? 'held' : 'broken' }));
  }

  private static countReasons(calls: readonly demoCall.DemoCall[]): Readonly<Record<string, number>> {
    const counts = new Map<string, number>();
    calls.filter((call) => call.outcome !== 'answered').map((call) => `${call.outcome} ${call.stream.kind.name} ${call.reason}`)
      .forEach((reason) => counts.set(reason, (counts.get(reason) ?? 0) + 1));
    return Object.fromEntries(counts);
  }

  private countOperations(outcome: demoCall.DemoCall['outcome'], matches: (runs: number) => boolean): number {
    return sum(this.observations.map(({ calls, runs }) => calls
      .filter((call) => isOperation(call) && call.outcome === outcome && matches(runs.get(call.path) ?? 0)).length));
  }

  private computeAddedLatency(): DemoFigures['addedLatencyMs'] {
    const added = this.observations.flatMap(({ calls, directLatenciesMs }) => calls.flatMap((call) => {
      const directMs = directLatenciesMs.get(call.path);
      return call.outcome === 'answered' && directMs !== undefined ? [call.latencyMs - directMs] : [];
    }));
    return { p50: computeTenths(computePercentile(added, PERCENTILES.p50)), p99: computeTenths(computePercentile(added, PERCENTILES.p99)) };
  }
}
