/** Request of an application to an upstream service, sent through the VMs of tamarackferry. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  /** Path and query within the service, beginning with a slash. */
  readonly path: string;
  readonly headers?: readonly (readonly [string, string])[];
  readonly body?: Uint8Array;
  /** Time from the call of `send` within which the answer is needed, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the upstream may safely run the request more than once. The configuration document declares this for each kind of request. */
  readonly repeatability: 'idempotent' | 'non-idempotent';
  /** Cancels the request. */
  readonly signal?: AbortSignal;
}

/** Complete answer of an upstream. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
}

/** Reason why a request has no answer. */
export type CallerFailure =
  /** The upstream did not run the request and will not run it later. */
  | { readonly type: 'not-run'; readonly reason: string }
  /** It is unknown whether the upstream ran the request. */
  | { readonly type: 'unknown'; readonly reason: string };
