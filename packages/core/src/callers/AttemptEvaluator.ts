import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as attemptVerdict from './AttemptVerdict.js';

const FIRST_SERVER_ERROR_STATUS = 500;

const OBSERVATIONS_BY_CAUSE = { shed: 'shed', draining: 'draining', cancelled: 'withdrawn' } as const;

/** Rule for what the end of an attempt means under the contract of its service. */
export class AttemptEvaluator {
  /**
   * Evaluates the end of an attempt.
   * @param result - End as the connection saw it.
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
        // An attempt that began shortly before the deadline had no chance to be on time, so it says nothing.
        return {
          observation: timeliness === 'late' || elapsedMs >= kind.onTimeMs ? 'timed-out' : 'withdrawn',
          verdict: { type: 'unknown', reason: 'upstream-silent' },
        };
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
   * Tells whether an answer belongs to the request that it was received for.
   * @param echo - Comparison of the echoed request id with the one sent.
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
    // The echo comes first: a declaration in the answer to another request proves nothing about this one.
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
