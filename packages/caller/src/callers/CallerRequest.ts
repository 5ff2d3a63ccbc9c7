/** Request of an application to a service behind the fleet. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  /** Path and query below the service, beginning with a slash. */
  readonly path: string;
  readonly headers?: readonly (readonly [string, string])[];
  readonly body?: Uint8Array;
  /** Time within which the answer is needed, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the upstream may run the request more than once without harm. Declared by the kind in the document. */
  readonly repeatability: 'idempotent' | 'non-idempotent';
  /** Cancels the request. */
  readonly signal?: AbortSignal;
}

/** Whole answer of an upstream. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
}

/** Reason why a request has no answer. */
export type CallerFailure =
  // The request did not run and will not run.
  | { readonly type: 'not-run'; readonly reason: string }
  /** It is not known whether the request ran. */
  | { readonly type: 'unknown'; readonly reason: string };
