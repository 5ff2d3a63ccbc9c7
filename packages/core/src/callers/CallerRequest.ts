/** Request of a caller, as received by the VM that the caller is connected to. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  /** Path and query relative to the service, beginning with a slash. */
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** SHA-256 of method, path and body, in lower-case hexadecimal; empty for requests without an operation id. */
  readonly digest: string;
  /** Member that the caller belongs to. */
  readonly member: string;
  /** Time from arrival to the deadline of the caller, in milliseconds; if undefined, the deadline of the kind applies. */
  readonly deadlineMs: number | undefined;
  readonly operationId: string | undefined;
}
