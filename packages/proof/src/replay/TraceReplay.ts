import type * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

import * as traces from '../traces/index.js';
import * as observedWorld from './ObservedWorld.js';
import * as outcomeJudge from './OutcomeJudge.js';
import * as versionLog from './VersionLog.js';

/** Result of a replay. */
export interface ReplayReport {
  readonly deployment: string;
  readonly seed: number;
  readonly endMs: number;
  readonly result: 'met' | 'not-met';
  readonly verdicts: readonly outcomeJudge.Verdict[];
}

/** Options of a replay. */
export interface ReplayOptions {
  /** Deployments that the trace may name; the presets of this package if not given. */
  readonly presets?: traces.PresetSource;
  /** Rules that replace the default ones on every VM. */
  readonly rules?: Partial<core.vms.VmRules>;
}

/** Runs traces against the decisions of the fleet. */
export class TraceReplay {
  /**
   * Reads and runs a trace.
   * @param text - Text of the trace.
   * @param options - Presets and rules.
   */
  static replay(text: string, options: ReplayOptions = {}): neverthrow.Result<ReplayReport, traces.TraceFailure> {
    const parser = new traces.TraceParser(options.presets ?? new traces.DirectoryPresetSource());
    return parser.parse(text).map((trace) => TraceReplay.run(trace, options.rules));
  }

  /**
   * Runs a trace.
   * @param trace - Trace to run.
   * @param rules - Rules that replace the default ones on every VM.
   */
  static run(trace: traces.Trace, rules?: Partial<core.vms.VmRules>): ReplayReport {
    const observed = new observedWorld.ObservedWorld({ plan: trace.plan, seed: trace.seed, ...(rules === undefined ? {} : { rules }) });
    const versions = new versionLog.VersionLog(observed.world);
    observed.world.subscribe({ post: (event) => versions.handle(event) });
    const publishedAtMs = new Map([[1, 0]]);
    trace.actions.forEach((timed) => {
      observed.injectAt(timed.atMs, timed.action);
      if (!publishedAtMs.has(observed.injector.newestVersion)) publishedAtMs.set(observed.injector.newestVersion, timed.atMs);
    });
    observed.world.advanceTo(trace.endMs);
    const judge = new outcomeJudge.OutcomeJudge({ observed, versions, publishedAtMs });
    const verdicts = [...trace.outcomes.map((stated) => judge.evaluate(stated)), judge.evaluatePromises()];
    return {
      deployment: trace.plan.name,
      seed: trace.seed,
      endMs: trace.endMs,
      result: verdicts.every((verdict) => verdict.verdict === 'met') ? 'met' : 'not-met',
      verdicts,
    };
  }
}
