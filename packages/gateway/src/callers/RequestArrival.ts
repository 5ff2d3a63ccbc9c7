/** Request of a caller, received completely. */
export interface RequestArrival {
  readonly requestId: string;
  /** Id that the caller assigned to the request. */
  readonly callerRequestId: string;
  readonly method: string;
  readonly host: string;
  /** Path and query string as sent by the caller. */
  readonly path: string;
  /** Names and values of the headers alternately, without the hop-by-hop headers. */
  readonly headers: readonly string[];
  /** Complete body; a long one may be in parts, which are not copied. */
  readonly body: Uint8Array | readonly Uint8Array[];
  /** Digest of the key by which the caller identifies itself; undefined if it sent none. */
  readonly credential: string | undefined;
  /** Time for which the caller waits for an answer, in milliseconds; undefined if it stated none. */
  readonly deadlineMs: number | undefined;
  /** Time at which the headers of the request were received. */
  readonly arrivedAtMs: number;
}

/**
 * Reason why the VM answers a request itself instead of passing on the answer of an instance.
 * - `no-configuration`, `no-route`: the request cannot be routed.
 * - `unknown-key`: the route requires the key of a tenant, and the request has none.
 * - `over-quota`: the tenant of the request has used up its quota.
 * - `no-instance`, `overloaded`, `stopping`, `too-late`: refused; no instance has processed the request, and none will.
 * - `unknown`: the request was sent to an instance, and it is not known whether the instance processed it.
 * - `timed-out`: the request was sent to an instance, and its deadline passed without an answer.
 */
export type RefusalReason =
  'no-configuration' | 'no-route' | 'unknown-key' | 'over-quota' | 'no-instance' | 'overloaded' | 'stopping' | 'too-late' | 'unknown' | 'timed-out';
