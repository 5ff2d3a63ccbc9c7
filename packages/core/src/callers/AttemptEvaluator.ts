import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as attemptVerdict from './AttemptVerdict.js';

const FIRST_SERVER_ERROR_STATUS = 500;

// Observation to record when the instance declares that it did not run the request, keyed by the declared cause.
const OBSERVATIONS_BY_CAUSE = { shed: 'shed', draining: 'draining', cancelled: 'withdrawn' } as const;

/**
 * Evaluates the result of an attempt according to the contract of its service. The observation `withdrawn` has no bearing on the health
 * of the instance. `notRunAnswers` of a contract says whether the service declares in its answers that it did not run a request.
 */
export class AttemptEvaluator {
  /**
   * Derives the health observation of the instance, and whether the request ran (the verdict).
   * @param result - How the attempt ended, as reported by the connection.
   * @param contract - Contract of the service.
   * @param kind - Kind of the request.
   * @param elapsedMs - Time since the attempt was sent, in milliseconds.
   */
  evaluateResult(
    result: upstreams.AttemptResult,
    contract: contracts.ServiceContract,
    kind: contracts.RequestKind,
    elapsedMs: number,
  ): attemptVerdict.AttemptEvaluation {
    const timeliness = elapsedMs <= kind.onTimeMs ? 'on-time' : 'late';
    switch (result.type) {
      case 'answered':
        return this.evaluateAnswer(result, contract, timeliness);
      case 'streamed':
        return { observation: timeliness, verdict: { type: 'streamed' } };
      case 'stream-broken':
        return { observation: 'failed', verdict: { type: 'unknown', reason: 'answer-incomplete' } };
      case 'refused':
        return { observation: 'refused', verdict: { type: 'not-run', cause: 'refused' } };
      case 'reset':
        return { observation: 'failed', verdict: { type: 'unknown', reason: 'upstream-reset' } };
      case 'truncated':
        return { observation: 'corrupt', verdict: { type: 'unknown', reason: 'answer-incomplete' } };
      case 'timed-out':
        // An attempt that was sent less than `onTimeMs` before the deadline timed out before its answer would have been late, so the
        // time-out does not count against the instance.
        return {
          observation: timeliness === 'late' || elapsedMs >= kind.onTimeMs ? 'timed-out' : 'withdrawn',
          verdict: { type: 'unknown', reason: 'upstream-silent' },
        };
      // The attempt was cancelled.
      default:
        return {
          observation: 'withdrawn',
          verdict: result.confirmation === 'confirmed-not-run' && contract.notRunAnswers === 'declared'
            ? { type: 'not-run', cause: 'cancelled' }
            : { type: 'unknown', reason: 'cancelled' },
        };
    }
  }

  /**
   * Returns whether an answer belongs to the request that was sent in the attempt. An answer without an echoed id is accepted only if
   * the contract declares that the service does not echo request ids.
   * @param echo - Result of comparing the echoed request id (the id of the attempt) with the one sent; `absent` if none was echoed.
   * @param contract - Contract of the service.
   */
  isMatchingAnswer(echo: 'matched' | 'mismatched' | 'absent', contract: contracts.ServiceContract): boolean {
    return echo === 'matched' || (echo === 'absent' && contract.requestIdEcho === 'absent');
  }

  private evaluateAnswer(
    result: Extract<upstreams.AttemptResult, { type: 'answered' }>,
    contract: contracts.ServiceContract,
    timeliness: 'on-time' | 'late',
  ): attemptVerdict.AttemptEvaluation {
    // The echo is checked first: a not-run declaration in the answer to another request proves nothing about this one.
    if (!this.isMatchingAnswer(result.echo, contract)) {
      return { observation: 'corrupt', verdict: { type: 'unknown', reason: 'answer-mismatched' } };
    }
    if (result.notRun !== undefined && contract.notRunAnswers === 'declared') {
      return { observation: OBSERVATIONS_BY_CAUSE[result.notRun], verdict: { type: 'not-run', cause: result.notRun } };
    }
    const observation = result.answer.status >= FIRST_SERVER_ERROR_STATUS ? 'failed' : timeliness;
    return { observation, verdict: { type: 'answered', answer: result.answer } };
  }
}
