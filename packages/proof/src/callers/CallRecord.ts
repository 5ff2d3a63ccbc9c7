import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';

/** What a caller was told about one sending of its request. */
export interface ToldOutcome {
  readonly vm: string;
  readonly atMs: number;
  readonly type: core.contracts.Outcome['type'];
  readonly reason: string;
}

/** State of a request as its caller sees it. `replaced`: sent anew as another request. */
export type CallState = 'open' | 'answered-on-time' | 'answered-late' | 'answered-wrong' | 'not-run' | 'unknown' | 'cancelled' | 'replaced';

/** Options of a `CallRecord`. */
export interface CallRecordOptions {
  readonly member: string;
  readonly plan: contracts.ServicePlan;
  readonly kind: core.contracts.RequestKind;
  readonly sentAtMs: number;
}

/** One request of a fake caller, with all its sendings. */
export class CallRecord {
  readonly told: ToldOutcome[] = [];

  /** Runs at upstream instances. */
  runs = 0;

  private id: string | undefined;

  private current: CallState = 'open';

  /**
   * @param token - Names the request in its path and in its answer.
   * @param options - Member, service, kind and time.
   */
  constructor(readonly token: string, readonly options: CallRecordOptions) {}

  /** Operation id, if the request has one. */
  get operationId(): string | undefined {
    return this.id;
  }

  /** Service that the request is for. */
  get service(): string {
    return this.options.plan.contract.name;
  }

  /** State as the caller sees it. */
  get state(): CallState {
    return this.current;
  }

  /**
   * Sets the operation id.
   * @param id - Operation id, or undefined for none.
   */
  setOperationId(id: string | undefined): void {
    this.id = id;
  }

  /**
   * Sets the state.
   * @param state - New state.
   */
  setState(state: CallState): void {
    this.current = state;
  }

  /** Counts a run at an upstream instance. */
  recordRun(): void {
    this.runs += 1;
  }
}
