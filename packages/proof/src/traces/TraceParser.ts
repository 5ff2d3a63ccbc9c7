import * as neverthrow from 'neverthrow';

import * as actionReader from './ActionReader.js';
import * as lineReader from './LineReader.js';
import * as outcomeReader from './OutcomeReader.js';
import * as planBuilder from './PlanBuilder.js';
import * as planNames from './PlanNames.js';
import type * as presetSource from './PresetSource.js';
import type * as traces from './Trace.js';
import type * as traceFailure from './TraceFailure.js';

type ParseResult<Value> = neverthrow.Result<Value, traceFailure.TraceFailure>;

const DEFAULT_END_MS = 60_000;

const TIMED_WORDS = new Set(['at', 'expect']);

/** Reads the text of a trace. The format is described in docs/traces.md. */
export class TraceParser {
  /** @param presets - Deployments that traces may name. */
  constructor(private readonly presets: presetSource.PresetSource) {}

  /**
   * Reads a trace.
   * @param text - Text of the trace.
   */
  parse(text: string): ParseResult<traces.Trace> {
    const lines = TraceParser.splitLines(text, '');
    const builder = new planBuilder.PlanBuilder();
    const timing = { seed: 1, endMs: DEFAULT_END_MS };
    const setup = lines.filter((line) => !TIMED_WORDS.has(TraceParser.getFirstWord(line)));
    const failure = this.applySetup(setup, builder, timing);
    if (failure !== undefined) return neverthrow.err(failure);
    const gap = builder.findGap();
    if (gap !== undefined) {
      return neverthrow.err({
        type: 'trace-failure', preset: '', line: 0, reason: gap,
      });
    }
    const names = new planNames.PlanNames(builder.build());
    const actions = new actionReader.ActionReader(names);
    return TraceParser.parseActions(lines, actions).andThen((timed) => (
      TraceParser.parseOutcomes(lines, new outcomeReader.OutcomeReader(names, actions.requestNames)).map((outcomes) => ({
        plan: names.plan, ...timing, actions: timed, outcomes,
      }))
    ));
  }

  /**
   * Reads one action, as it stands after its time.
   * @param text - Action, such as `kill vm-01`.
   * @param reader - Reader that knows the names of the deployment and earlier requests.
   */
  static parseAction(text: string, reader: actionReader.ActionReader): ParseResult<traces.TimedAction['action']> {
    const line = new lineReader.LineReader(text, 0, '');
    const action = reader.read(line.takeWord('action'), line);
    const failure = line.end();
    return failure === undefined ? neverthrow.ok(action!) : neverthrow.err(failure);
  }

  private applySetup(
    lines: readonly lineReader.LineReader[],
    builder: planBuilder.PlanBuilder,
    timing: { seed: number; endMs: number },
  ): traceFailure.TraceFailure | undefined {
    return lines.reduce<traceFailure.TraceFailure | undefined>((failed, line) => {
      if (failed !== undefined) return failed;
      const directive = line.takeWord('directive');
      if (directive === 'deployment') return this.applyPreset(line, builder, timing) ?? line.end();
      if (directive === 'seed') Object.assign(timing, { seed: line.takeNumber('seed') });
      else if (directive === 'end') Object.assign(timing, { endMs: line.takeDurationMs('end') });
      else builder.apply(directive, line);
      return line.end();
    }, undefined);
  }

  private applyPreset(
    line: lineReader.LineReader,
    builder: planBuilder.PlanBuilder,
    timing: { seed: number; endMs: number },
  ): traceFailure.TraceFailure | undefined {
    const name = line.takeName('deployment');
    if (line.preset !== '') line.refuse('a preset names no other preset');
    return this.presets.readPreset(name).match(
      (text) => (line.preset === '' ? this.applySetup(TraceParser.splitLines(text, name), builder, timing) : undefined),
      () => {
        line.refuse(`there is no deployment preset ${name}`);
        return undefined;
      },
    );
  }

  private static parseActions(
    lines: readonly lineReader.LineReader[],
    actions: actionReader.ActionReader,
  ): ParseResult<readonly traces.TimedAction[]> {
    return neverthrow.Result.combine(lines.filter((line) => TraceParser.getFirstWord(line) === 'at').map((line) => {
      line.takeWord('at');
      const atMs = line.takeDurationMs('time');
      const action = actions.read(line.takeWord('action'), line);
      const failure = line.end();
      return failure === undefined && action !== undefined ? neverthrow.ok({ line: line.line, atMs, action }) : neverthrow.err(failure!);
    })).map((timed) => timed.sort((left, right) => left.atMs - right.atMs));
  }

  private static parseOutcomes(
    lines: readonly lineReader.LineReader[],
    outcomes: outcomeReader.OutcomeReader,
  ): ParseResult<readonly traces.StatedOutcome[]> {
    return neverthrow.Result.combine(lines.filter((line) => TraceParser.getFirstWord(line) === 'expect').map((line) => {
      line.takeWord('expect');
      const expectation = outcomes.read(line);
      const failure = line.end();
      return failure === undefined && expectation !== undefined
        ? neverthrow.ok({ line: line.line, text: line.text.trim(), expectation })
        : neverthrow.err(failure!);
    }));
  }

  private static splitLines(text: string, preset: string): readonly lineReader.LineReader[] {
    return text.split(/\r?\n/)
      .map((line, index) => ({ content: line.replace(/(^|\s)#.*$/, '').trim(), number: index + 1 }))
      .filter((line) => line.content !== '')
      .map((line) => new lineReader.LineReader(line.content, line.number, preset));
  }

  private static getFirstWord(line: lineReader.LineReader): string {
    return line.text.split(/\s+/)[0]!;
  }
}
