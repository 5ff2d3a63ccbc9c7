import type * as gateway from '@tamarackferry/gateway';

/** What the headers of a request say besides what is forwarded. */
export interface RequestMetadata {
  readonly callerRequestId: string;
  readonly deadlineMs: number | undefined;
}

/** Answer that the VM makes itself. */
export interface RefusalResponse {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** How callers speak to a VM. */
export abstract class CallerDialect {
  /**
   * Reads the terms of a request. Undefined if it lacks something that it must have.
   * @param headers - Header fields by lower-case name.
   */
  abstract parseMetadata(headers: NodeJS.Dict<string | string[]>): RequestMetadata | undefined;

  /**
   * Builds the answer to a request that no instance answered.
   * @param reason - Why the VM answers itself.
   * @param retryAfterMs - Time after which the caller should come back; undefined if it should not.
   */
  abstract buildRefusal(reason: gateway.callers.RefusalReason, retryAfterMs: number | undefined): RefusalResponse;
}
