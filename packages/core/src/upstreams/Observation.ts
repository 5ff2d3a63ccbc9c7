/**
 * Outcome of one attempt as an observation about the instance that it was sent to.
 *
 * Good attempts (unless the answer was slow for the pool):
 * - `on-time`: complete answer within the on-time limit of the request kind.
 *
 * Bad attempts:
 * - `late`: complete answer after the on-time limit.
 * - `failed`: server error, connection reset, or stream to the caller that broke off.
 * - `timed-out`: no answer before the time-out; the cause may be the instance or the network.
 * - `corrupt`: buffered answer that is truncated, fails a check or belongs to another request.
 * - `refused`: connection refused.
 *
 * Attempts that count neither as good nor as bad:
 * - `shed`: the upstream declared that it did not execute the request because of its load.
 * - `draining`: the upstream declared that it did not execute the request because the instance is draining.
 * - `withdrawn`: attempt that this VM cancelled before an answer.
 */
export type Observation =
  | 'on-time' | 'late' | 'failed' | 'timed-out' | 'corrupt' | 'shed' | 'draining' | 'refused' | 'withdrawn';
