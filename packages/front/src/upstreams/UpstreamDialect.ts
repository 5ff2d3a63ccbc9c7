import type * as gateway from '@tamarackferry/gateway';

/** Values that a VM reads from the status and headers of a response for its own use. */
export interface ResponseMetadata {
  /** Whether the response echoes the id of the request that was sent, once. A response that echoes no id is `mismatched`. */
  readonly echo: 'matched' | 'mismatched';
  /** Whether the request was executed, as reported by the instance. `misdirected`: not executed, another instance has the address. */
  readonly execution: 'not-run' | 'misdirected' | 'may-have-run';
  /** Whether the response has a seal: a header by which an instance marks a response as its own. */
  readonly seal: 'present' | 'absent';
  readonly statement: gateway.upstreams.InstanceStatement;
}

/** Header conventions between a VM and the instances of one platform. */
export abstract class UpstreamDialect {
  /**
   * Builds the headers of an attempt as alternating names and values.
   * @param attempt - Attempt to send.
   */
  abstract buildHeaders(attempt: Extract<gateway.callers.GatewayOutput, { type: 'send-attempt' }>): string[];

  /**
   * Parses the metadata of a response.
   * @param status - Status code.
   * @param headers - Values of the header fields by lower-case name; those of a repeated field are joined by commas.
   * @param callerRequestId - Id of the request that was sent.
   */
  abstract parseMetadata(status: number, headers: ReadonlyMap<string, string>, callerRequestId: string): ResponseMetadata;
}
