import type * as traces from '../traces/index.js';
import type * as observedWorld from './ObservedWorld.js';
import type * as versionLog from './VersionLog.js';

/** Whether a stated outcome was met, and what was seen. */
export interface Verdict {
  /** Line of the trace that states it; 0 for the promises, which every trace is held to. */
  readonly line: number;
  readonly text: string;
  readonly verdict: 'met' | 'not-met';
  readonly seen: string;
}

/** Options of an `OutcomeJudge`. */
export interface OutcomeJudgeOptions {
  readonly observed: observedWorld.ObservedWorld;
  readonly versions: versionLog.VersionLog;
  /** When each version was published, in milliseconds. */
  readonly publishedAtMs: ReadonlyMap<number, number>;
}

interface Finding {
  readonly met: boolean;
  readonly seen: string;
}

function formatMs(valueMs: number | undefined): string {
  return valueMs === undefined ? 'never' : `${(valueMs / 1_000).toFixed(2)}s`;
}

/** Compares the outcomes that a trace states with what happened. */
export class OutcomeJudge {
  /** @param options - World after the run. */
  constructor(private readonly options: OutcomeJudgeOptions) {}

  /**
   * Evaluates one outcome.
   * @param stated - Outcome with its line.
   */
  evaluate(stated: traces.StatedOutcome): Verdict {
    const { met, seen } = this.findOut(stated.expectation);
    return {
      line: stated.line, text: stated.text, verdict: met ? 'met' : 'not-met', seen,
    };
  }

  /** Evaluates the promises of the design page. */
  evaluatePromises(): Verdict {
    const violations = this.options.observed.listViolations();
    const shown = violations.slice(0, 5).map((violation) => `${violation.promise} at ${formatMs(violation.atMs)}: ${violation.detail}`);
    return {
      line: 0,
      text: 'promises P1 to P7',
      verdict: violations.length === 0 ? 'met' : 'not-met',
      seen: violations.length === 0 ? 'no violation' : `${violations.length} violations; ${shown.join('; ')}`,
    };
  }

  private findOut(expectation: traces.Expectation): Finding {
    const { observed } = this.options;
    switch (expectation.type) {
      case 'runs': {
        const runs = observed.injector.getRecord(expectation.name)?.runs ?? 0;
        return { met: runs <= expectation.atMost, seen: `${runs} runs` };
      }
      case 'told':
      case 'never-told':
        return this.findTold(expectation);
      case 'floor-held':
        return this.findViolations('P1', expectation.service);
      case 'no-request-cut':
        return this.findViolations('P6', '');
      case 'no-new-work':
        return this.findViolations('P5', expectation.instance);
      case 'ejected': {
        const faultMs = observed.ejections.getFirstFaultMs(expectation.instance);
        const ejectedMs = observed.ejections.listEjectionsMs(expectation.instance).find((atMs) => atMs >= (faultMs ?? 0));
        const afterMs = ejectedMs === undefined || faultMs === undefined ? undefined : ejectedMs - faultMs;
        return { met: afterMs !== undefined && afterMs <= expectation.withinMs, seen: `ejected after ${formatMs(afterMs)}` };
      }
      case 'never-ejected': {
        const ejections = observed.ejections.listEjectionsMs(expectation.instance);
        return { met: ejections.length === 0, seen: `${ejections.length} ejections` };
      }
      case 'detected': {
        const exposureMs = observed.detection.getExposureMs(expectation.instance);
        return { met: exposureMs !== undefined && exposureMs <= expectation.withinMs, seen: `more than a trial share for ${formatMs(exposureMs)}` };
      }
      case 'in-force':
        return this.findInForce(expectation);
      case 'answered': {
        const share = observed.services.computeOnTimeShare(expectation.service);
        return { met: share >= expectation.share, seen: `share ${share.toFixed(4)}` };
      }
      default:
        return { met: false, seen: 'not evaluated' };
    }
  }

  private findTold(expectation: Extract<traces.Expectation, { type: 'told' | 'never-told' }>): Finding {
    const told = this.options.observed.injector.getRecord(expectation.name)?.told ?? [];
    const matching = told.filter((outcome) => (
      outcome.type === expectation.outcome && (expectation.via === undefined || outcome.vm === expectation.via)
    ));
    const seen = told.map((outcome) => `${outcome.vm} ${outcome.type} ${outcome.reason}`.trim()).join(', ');
    return { met: matching.length > 0 === (expectation.type === 'told'), seen: seen === '' ? 'nothing told' : seen };
  }

  private findViolations(promise: string, word: string): Finding {
    const violations = this.options.observed.listViolations();
    const found = violations.filter((violation) => violation.promise === promise && violation.detail.includes(word));
    return { met: found.length === 0, seen: found[0]?.detail ?? 'no violation' };
  }

  private findInForce(expectation: Extract<traces.Expectation, { type: 'in-force' }>): Finding {
    const { observed, versions, publishedAtMs } = this.options;
    const fromMs = publishedAtMs.get(expectation.version);
    const running = observed.world.listMachines().filter((machine) => machine.getState() === 'running');
    const times = running.map((machine) => versions.getReachedMs(machine, expectation.version, observed.injector.newestVersion));
    const missing = times.filter((time) => time === undefined).length;
    const last = Math.max(...times.map((time) => time ?? Infinity));
    if (fromMs === undefined || missing > 0) return { met: false, seen: `${missing} of ${running.length} VMs without it` };
    return { met: last - fromMs <= expectation.withinMs, seen: `everywhere after ${formatMs(last - fromMs)}` };
  }
}
