import type * as core from '@tamarackferry/core';

import type * as promises from '../promises/index.js';
import * as replay from '../replay/index.js';
import * as traces from '../traces/index.js';

// Time after the last action in which late effects still show.
const SETTLE_MS = 12_000;

/** Options of a `FuzzRun`. */
export interface FuzzRunOptions {
  /** Preset of the deployment. */
  readonly deployment: string;
  readonly trace: traces.Trace;
  readonly seed: number;
  readonly rules: Partial<core.vms.VmRules> | undefined;
  readonly digest: 'kept' | 'none';
}

/** One fuzzed sequence on a world. Keeps the actions as lines of a trace. */
export class FuzzRun {
  private readonly observed: replay.ObservedWorld;

  private readonly reader: traces.ActionReader;

  private readonly lines: string[] = [];

  private atMs: number;

  /** @param options - Deployment and seed. */
  constructor(private readonly options: FuzzRunOptions) {
    const {
      trace, seed, rules, digest,
    } = options;
    this.observed = new replay.ObservedWorld({
      plan: trace.plan, seed, digest, ...(rules === undefined ? {} : { rules }),
    });
    this.reader = new traces.ActionReader(new traces.PlanNames(trace.plan));
    this.atMs = trace.plan.loadFromMs;
  }

  /**
   * Advances the world and applies an action.
   * @param gapMs - Time since the previous action, in milliseconds.
   * @param text - Action as in a trace.
   */
  apply(gapMs: number, text: string): void {
    this.atMs += gapMs;
    this.lines.push(`at ${this.atMs}ms ${text}`);
    traces.TraceParser.parseAction(text, this.reader).map((action) => this.observed.injectAt(this.atMs, action));
  }

  /** Lets late effects show and lists the broken promises. */
  end(): readonly promises.Violation[] {
    this.observed.world.advanceTo(this.atMs + SETTLE_MS);
    return this.observed.listViolations();
  }

  /** Computes a digest of all outputs of the VMs. */
  computeDigest(): string {
    return this.observed.world.computeDigest();
  }

  /** Formats the sequence as a trace that `replay` takes. */
  formatTrace(): string {
    const { deployment, seed } = this.options;
    return [`deployment ${deployment}`, `seed ${seed}`, `end ${this.atMs + SETTLE_MS}ms`, ...this.lines, ''].join('\n');
  }
}
