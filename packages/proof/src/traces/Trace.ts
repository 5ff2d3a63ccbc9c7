import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as worlds from '../worlds/index.js';

/** Outcome that a trace states. */
export type Expectation =
  | { readonly type: 'runs'; readonly name: string; readonly atMost: number }
  | {
    readonly type: 'told' | 'never-told';
    readonly name: string;
    readonly outcome: core.contracts.Outcome['type'];
    /** VM that tells it; undefined for any. */
    readonly via: string | undefined;
  }
  | { readonly type: 'floor-held'; readonly service: string }
  /** From the first fault of the instance until the first VM ejects it. */
  | { readonly type: 'ejected'; readonly instance: string; readonly withinMs: number }
  | { readonly type: 'never-ejected'; readonly instance: string }
  /** Time for which the gray instance gets more than a trial share. */
  | { readonly type: 'detected'; readonly instance: string; readonly withinMs: number }
  /** From the publication until the last VM has the version. */
  | { readonly type: 'in-force'; readonly version: number; readonly withinMs: number }
  | { readonly type: 'answered'; readonly service: string; readonly share: number }
  | { readonly type: 'no-request-cut' }
  | { readonly type: 'no-new-work'; readonly instance: string };

/** Expectation with the line that states it. */
export interface StatedOutcome {
  readonly line: number;
  readonly text: string;
  readonly expectation: Expectation;
}

/** Action with its time. */
export interface TimedAction {
  readonly line: number;
  readonly atMs: number;
  readonly action: worlds.WorldAction;
}

/** Deployment, faults and stated outcomes that `replay` runs. */
export interface Trace {
  readonly plan: contracts.DeploymentPlan;
  readonly seed: number;
  readonly endMs: number;
  readonly actions: readonly TimedAction[];
  readonly outcomes: readonly StatedOutcome[];
}
