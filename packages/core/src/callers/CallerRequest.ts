/** Request of a caller, as its entry VM received it. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  /** Path and query below the service, beginning with a slash. */
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** SHA-256 of method, path and body, in lower-case hexadecimal; empty for requests without an operation id. */
  readonly digest: string;
  /** Member that the caller belongs to. */
  readonly member: string;
  /** Time that the caller still waits when the request arrives, in milliseconds; undefined takes the kind's deadline. */
  readonly deadlineMs: number | undefined;
  readonly operationId: string | undefined;
}
