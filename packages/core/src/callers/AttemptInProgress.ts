import type * as upstreams from '../upstreams/index.js';
import type * as attemptVerdict from './AttemptVerdict.js';
import type * as requestInProgress from './RequestInProgress.js';

// The hedge of an attempt usually answers later than this, so the attempt that it beats counts against its instance.
// Without it an instance that never answers idempotent requests left no evidence, since every attempt was cancelled in time.
const CANCELLED_AS_SLOW_FACTOR = 1.25;

/** One try of a request at one instance, from `acquire` to `observed`. */
export class AttemptInProgress {
  /** `released`: its request has ended or prefers another attempt; the result is dropped. */
  state: 'acquiring' | 'sent' | 'released' = 'acquiring';

  /** Set when the answer exceeded the buffer limit. */
  overflow: 'streaming' | 'mismatched' | 'refused' | undefined;

  sentAtMs: number | undefined;

  /** Time after which an attempt that is cancelled counts as silent, in milliseconds. */
  slowAfterMs = Infinity;

  /** What a released attempt says about its instance if no answer follows. */
  observationWithoutAnswer: upstreams.Observation = 'withdrawn';

  /**
   * @param attemptId - Id that the upstream echoes.
   * @param request - Request that the attempt belongs to.
   * @param role - Whether the attempt runs beside an earlier one.
   */
  constructor(
    readonly attemptId: string,
    readonly request: requestInProgress.RequestInProgress,
    readonly role: 'primary' | 'hedge',
  ) {}

  /**
   * Marks that the attempt was sent to its instance.
   * @param nowMs - Monotonic time in milliseconds.
   * @param hedgeAfterMs - 95th percentile of the latency of the service, in milliseconds.
   */
  markSent(nowMs: number, hedgeAfterMs: number): void {
    this.state = 'sent';
    this.slowAfterMs = hedgeAfterMs * CANCELLED_AS_SLOW_FACTOR;
    this.sentAtMs = nowMs;
  }

  /**
   * Marks that the result is not needed any more.
   * @param observation - What the attempt says about its instance if no answer follows.
   */
  markReleased(observation: upstreams.Observation): void {
    this.state = 'released';
    this.observationWithoutAnswer = observation;
  }

  /**
   * Marks that the answer exceeded the buffer limit.
   * @param overflow - What is done with the answer.
   */
  markOverflow(overflow: 'streaming' | 'mismatched' | 'refused'): void {
    this.overflow = overflow;
  }

  /**
   * Limits a verdict by what is known from an answer that exceeded the buffer limit: the instance did answer.
   * @param verdict - Verdict of the interpreter.
   */
  limitVerdict(verdict: attemptVerdict.AttemptVerdict): attemptVerdict.AttemptVerdict {
    if (this.overflow === 'mismatched') return { type: 'unknown', reason: 'answer-mismatched' };
    return this.overflow === 'refused' ? { type: 'unknown', reason: 'answer-incomplete' } : verdict;
  }

  /**
   * Chooses the observation for the instance.
   * @param result - How the attempt ended.
   * @param evaluated - Observation of the interpreter.
   */
  chooseObservation(result: upstreams.AttemptResult['type'], evaluated: upstreams.Observation): upstreams.Observation {
    if (this.overflow === 'mismatched') return 'corrupt';
    // A released attempt is cancelled by this side, so that only a complete answer says something about the instance.
    return this.state === 'released' && result !== 'answered' ? this.observationWithoutAnswer : evaluated;
  }
}
