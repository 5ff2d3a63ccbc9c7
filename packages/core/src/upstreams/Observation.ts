/**
 * Outcome of one attempt as an observation about the instance that it was sent to.
 * - `on-time`: complete answer within the on-time limit of the request kind.
 * - `late`: complete answer after the on-time limit.
 * - `failed`: server error, connection reset or truncated stream.
 * - `timed-out`: no answer; a fault of the link can also be the cause.
 * - `corrupt`: answer that is truncated or belongs to another request.
 * - `shed`: the upstream declared that it did not execute the request because of its load; not counted as a failure.
 * - `draining`: the upstream declared that it did not execute the request because the instance is draining.
 * - `refused`: connection refused.
 * - `withdrawn`: attempt that this VM cancelled before an answer; not counted.
 */
export type Observation =
  | 'on-time' | 'late' | 'failed' | 'timed-out' | 'corrupt' | 'shed' | 'draining' | 'refused' | 'withdrawn';
