import type * as upstreams from '../upstreams/index.js';
import type * as attemptVerdict from './AttemptVerdict.js';
import type * as requestInProgress from './RequestInProgress.js';

// An attempt that is cancelled after 1.25 times the hedge delay counts as a time-out of its instance. The answer to a hedge usually
// arrives later than that. Without this rule, no failure would be recorded for an instance that never answers idempotent requests,
// because the answer to the hedge cancels each of its attempts before the deadline.
const CANCELLED_AS_SLOW_FACTOR = 1.25;

/** One attempt of a request at one instance, from the message `acquire` to the message `observed`. */
export class AttemptInProgress {
  /** `acquiring`: waiting for an instance. `cancelled`: the request has ended or uses another attempt, so the result is discarded. */
  state: 'acquiring' | 'sent' | 'cancelled' = 'acquiring';

  /**
   * How an answer that exceeds the buffer limit is handled; undefined for smaller answers.
   * - `streaming`: streamed to the caller.
   * - `mismatched`: cancelled, because it does not belong to the request.
   * - `refused`: cancelled, because no caller at this VM waits for it.
   */
  overflow: 'streaming' | 'mismatched' | 'refused' | undefined;

  sentAtMs: number | undefined;

  /** Time since sending, in milliseconds, from which on a cancelled attempt counts as timed out. */
  slowAfterMs = Infinity;

  /** Observation recorded for the instance if a cancelled attempt ends without a complete answer. */
  observationWithoutAnswer: upstreams.Observation = 'withdrawn';

  /**
   * @param attemptId - Id that is sent to the upstream, which may echo it.
   * @param request - Request that the attempt belongs to.
   * @param role - `hedge` if the attempt runs concurrently with an earlier one.
   */
  constructor(
    readonly attemptId: string,
    readonly request: requestInProgress.RequestInProgress,
    readonly role: 'primary' | 'hedge',
  ) {}

  /**
   * Marks that the attempt was sent to its instance.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param hedgeAfterMs - 95th percentile of the latency of the service, in milliseconds.
   */
  markSent(nowMs: number, hedgeAfterMs: number): void {
    this.state = 'sent';
    this.slowAfterMs = hedgeAfterMs * CANCELLED_AS_SLOW_FACTOR;
    this.sentAtMs = nowMs;
  }

  /**
   * Marks the attempt as cancelled: its result is no longer needed.
   * @param observation - Observation to record for the instance if no complete answer follows.
   */
  markCancelled(observation: upstreams.Observation): void {
    this.state = 'cancelled';
    this.observationWithoutAnswer = observation;
  }

  /**
   * Marks that the answer exceeded the buffer limit.
   * @param overflow - How the answer is handled.
   */
  markOverflow(overflow: 'streaming' | 'mismatched' | 'refused'): void {
    this.overflow = overflow;
  }

  /**
   * Replaces the verdict if the attempt was cancelled because its answer exceeded the buffer limit. The instance did answer, so the
   * cancellation must not count as proof that the request did not run.
   * @param verdict - Verdict of the evaluator.
   */
  limitVerdict(verdict: attemptVerdict.AttemptVerdict): attemptVerdict.AttemptVerdict {
    if (this.overflow === 'mismatched') return { type: 'unknown', reason: 'answer-mismatched' };
    return this.overflow === 'refused' ? { type: 'unknown', reason: 'answer-incomplete' } : verdict;
  }

  /**
   * Chooses the observation to record for the instance.
   * @param result - How the attempt ended.
   * @param evaluated - Observation of the evaluator.
   */
  chooseObservation(result: upstreams.AttemptResult['type'], evaluated: upstreams.Observation): upstreams.Observation {
    if (this.overflow === 'mismatched') return 'corrupt';
    // This VM cancelled the attempt, so only a complete answer is information about the instance.
    return this.state === 'cancelled' && result !== 'answered' ? this.observationWithoutAnswer : evaluated;
  }
}
