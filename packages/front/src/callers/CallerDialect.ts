import type * as gateway from '@tamarackferry/gateway';

/** Values that a VM reads from the headers of a request for its own use. */
export interface RequestMetadata {
  /** Id that the caller gave the request. */
  readonly callerRequestId: string;
  /** Time that the caller waits for a response, in milliseconds; undefined if the request states none. */
  readonly deadlineMs: number | undefined;
  /** Digest of the key by which the caller identifies itself; undefined if the request has none. */
  readonly credential: string | undefined;
}

/** Response that the VM creates itself, since it has none from an instance. */
export interface RefusalResponse {
  readonly status: number;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
}

/** Header conventions between the callers of a platform and a VM: parses request headers and builds refusals. */
export abstract class CallerDialect {
  /**
   * Parses the metadata of a request. Returns undefined if a required header is missing.
   * @param headers - Header fields by lower-case name.
   */
  abstract parseMetadata(headers: NodeJS.Dict<string | string[]>): RequestMetadata | undefined;

  /**
   * Builds the response to a request for which the VM has no response of an instance.
   * @param reason - Why the request failed in the VM.
   * @param retryAfterMs - Time after which the caller may retry, in milliseconds; undefined if it should not retry.
   */
  abstract buildRefusal(reason: gateway.callers.RefusalReason, retryAfterMs: number | undefined): RefusalResponse;
}
