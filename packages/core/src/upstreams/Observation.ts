/**
 * What one attempt says about the instance that served it.
 * - `on-time`: complete answer within the kind's on-time limit.
 * - `late`: complete answer after the limit.
 * - `failed`: server error, reset or truncated stream.
 * - `timed-out`: no answer; may also be caused by the link.
 * - `corrupt`: truncated or mismatched answer.
 * - `shed`: declared not run because of load; ordinary, no evidence of a fault.
 * - `draining`: declared not run because the instance leaves.
 * - `refused`: connection refused.
 * - `withdrawn`: cancelled by this side before an answer; says nothing.
 */
export type Observation =
  | 'on-time' | 'late' | 'failed' | 'timed-out' | 'corrupt' | 'shed' | 'draining' | 'refused' | 'withdrawn';
