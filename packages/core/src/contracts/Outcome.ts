/** Reason why a request has certainly not run. */
export type NotRunReason =
  | 'no-configuration'
  | 'stopping'
  | 'unknown-service'
  | 'unknown-kind'
  | 'unknown-member'
  | 'operation-id-required'
  | 'operation-id-invalid'
  | 'operation-id-reused'
  | 'overloaded'
  | 'no-instance'
  | 'deadline-exceeded'
  | 'cancelled'
  | 'refused-by-upstream';

/** Reason why it is unknown whether a request has run. */
export type UnknownReason =
  | 'upstream-silent'
  | 'upstream-reset'
  | 'answer-incomplete'
  | 'answer-mismatched'
  | 'answer-not-kept'
  | 'operation-epoch-closed'
  | 'home-gone'
  | 'home-unreachable'
  | 'ledger-full'
  | 'no-configuration'
  | 'stopping'
  | 'overloaded'
  | 'cancelled'
  | 'deadline-exceeded';

/** Complete and verified answer of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}

/** Outcome of a request as returned to the caller. */
export type Outcome =
  | { readonly type: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly type: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs: number; readonly operationPrefix?: string }
  | { readonly type: 'unknown'; readonly reason: UnknownReason };
