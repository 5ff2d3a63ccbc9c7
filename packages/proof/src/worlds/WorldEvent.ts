import type * as core from '@tamarackferry/core';

import type * as callers from '../callers/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';

/** Address answer that a caller used. */
export interface AddressUse {
  readonly state: 'valid' | 'expired';
  /** When the caller got it, in milliseconds. */
  readonly receivedAtMs: number;
  /** VM that gave it; empty if there was none. */
  readonly issuer: string;
}

/** What happened in a world, told to the checks and meters. */
export type WorldEvent =
  | { readonly type: 'request-begun'; readonly record: callers.CallRecord }
  | {
    readonly type: 'attempt-sent';
    readonly machine: vms.FakeMachine;
    readonly instance: upstreams.FakeInstance;
    readonly record: callers.CallRecord | undefined;
    readonly timeoutMs: number;
  }
  | { readonly type: 'run-begun'; readonly instance: upstreams.FakeInstance; readonly record: callers.CallRecord }
  | {
    readonly type: 'attempt-ended';
    readonly machine: vms.FakeMachine;
    readonly instance: upstreams.FakeInstance;
    readonly result: core.upstreams.AttemptResult;
  }
  /** A VM gave an outcome; it may be lost on the way to the caller. */
  | {
    readonly type: 'outcome-told';
    readonly machine: vms.FakeMachine;
    readonly record: callers.CallRecord;
    readonly outcome: core.contracts.Outcome;
    readonly address: AddressUse;
  }
  /** A caller's view of its request changed; `unknown` may change again after a repeat. */
  | { readonly type: 'request-ended'; readonly record: callers.CallRecord; readonly previous: callers.CallState }
  | { readonly type: 'connection-refused'; readonly machine: vms.FakeMachine; readonly address: AddressUse }
  | { readonly type: 'document-accepted'; readonly machine: vms.FakeMachine; readonly reference: core.contracts.DocumentReference }
  | { readonly type: 'status'; readonly machine: vms.FakeMachine; readonly status: core.vms.VmStatus }
  | {
    readonly type: 'machine-changed';
    readonly machine: vms.FakeMachine;
    readonly change: 'started' | 'killed' | 'frozen' | 'thawed' | 'stopping' | 'stopped';
    /** Requests of callers that still wait for this VM. */
    readonly openRequests: number;
  }
  | { readonly type: 'instance-changed'; readonly instance: upstreams.FakeInstance }
  | { readonly type: 'list-read'; readonly machine: vms.FakeMachine; readonly entries: readonly core.vms.ListEntry[] }
  /** Posted each second. */
  | { readonly type: 'tick' };
