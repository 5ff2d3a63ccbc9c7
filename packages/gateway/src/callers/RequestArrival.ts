/** Request of a caller, read to its end. */
export interface RequestArrival {
  readonly requestId: string;
  /** Id that the caller gave this request. */
  readonly callerRequestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with its query, as sent. */
  readonly path: string;
  /** Names and values in turn, without those of one connection. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Time that the caller waits, in milliseconds; undefined if it did not say. */
  readonly deadlineMs: number | undefined;
  /** Time at which the head of the request was read. */
  readonly arrivedAtMs: number;
}

/**
 * Why the VM answers a request itself.
 * - `no-configuration`, `no-route`: the request cannot be routed.
 * - `no-instance`, `overloaded`, `stopping`, `too-late`: refused, the request has not run and will not.
 * - `unknown`: it was sent and no proof exists that it did not run.
 * - `timed-out`: it was sent and its time is over.
 */
export type RefusalReason = 'no-configuration' | 'no-route' | 'no-instance' | 'overloaded' | 'stopping' | 'too-late' | 'unknown' | 'timed-out';
