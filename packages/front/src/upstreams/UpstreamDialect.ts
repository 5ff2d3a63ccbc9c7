import type * as gateway from '@tamarackferry/gateway';

/** What the head of an answer says besides what is returned to the caller. */
export interface ResponseMetadata {
  /** Whether the answer names the request that was sent. */
  readonly echo: 'matched' | 'mismatched';
  /** Whether the instance states that it did not run the request. */
  readonly execution: 'not-run' | 'misdirected' | 'may-have-run';
  /** Whether the instance vouches for the answer. */
  readonly seal: 'present' | 'absent';
  readonly load: gateway.upstreams.ReportedLoad | undefined;
}

/** How VMs speak to instances. */
export abstract class UpstreamDialect {
  /**
   * Builds the headers of an attempt, names and values in turn.
   * @param attempt - Attempt to send.
   */
  abstract buildHeaders(attempt: Extract<gateway.callers.GatewayOutput, { type: 'send-attempt' }>): string[];

  /**
   * Reads the head of an answer.
   * @param status - Status code.
   * @param headers - First value of each header field, by lower-case name.
   * @param callerRequestId - Id of the request that was sent.
   */
  abstract parseMetadata(status: number, headers: ReadonlyMap<string, string>, callerRequestId: string): ResponseMetadata;
}
