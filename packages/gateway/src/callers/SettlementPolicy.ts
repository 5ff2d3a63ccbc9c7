import type * as route from '../contracts/Route.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';

/**
 * What follows the end of an attempt.
 * - `answer`: the answer of the instance goes to the caller.
 * - `retry`: the request may be sent to another instance at once.
 * - `retry-or-wait`: the same, and it may wait for an instance that is likely to answer.
 * - `resume`: no byte was written, so that the request is treated as if it had just arrived.
 * - `give-up`: the instance may have processed the request, which must not be processed twice.
 */
export type Settlement = 'answer' | 'retry' | 'retry-or-wait' | 'resume' | 'give-up';

/** Decides what follows the end of an attempt, from the kind of the request and from what the ending proves. */
export class SettlementPolicy {
  /**
   * Decides about a request.
   * @param kind - Kind of the request.
   * @param ending - How its attempt ended.
   */
  static decide(kind: route.RequestKind, ending: attemptEnding.AttemptEnding): Settlement {
    switch (ending.type) {
      case 'answered':
        return kind === 'idempotent' && ending.answer.status >= 500 ? 'retry-or-wait' : 'answer';
      case 'unsent':
        return 'resume';
      case 'not-run':
      case 'misdirected':
        return 'retry';
      // After `reset`, `broken` and `cancelled`, the instance may have processed the request.
      default:
        return kind === 'idempotent' ? 'retry' : 'give-up';
    }
  }

  /**
   * Whether an ending leaves open that the instance has processed the request, or shows that it has.
   * @param ending - How the attempt ended.
   */
  static canHaveRun(ending: attemptEnding.AttemptEnding): boolean {
    return !['answered', 'unsent', 'not-run', 'misdirected'].includes(ending.type);
  }

  /**
   * Whether the instance has stated in its answer that it is leaving, also if the answer goes to no caller.
   * @param ending - How the attempt ended.
   */
  static isLeaving(ending: attemptEnding.AttemptEnding): boolean {
    switch (ending.type) {
      case 'answered':
      case 'not-run':
        return ending.statement.presence === 'leaving';
      case 'broken':
      case 'cancelled':
        return ending.presence === 'leaving';
      default:
        return false;
    }
  }

  /**
   * Whether an ending is evidence of a failure of the instance, which the other VMs should know at once.
   * @param ending - How the attempt ended.
   */
  static isFailure(ending: attemptEnding.AttemptEnding): boolean {
    return ending.type === 'answered' ? ending.answer.status >= 500 : ending.type === 'reset' || ending.type === 'broken';
  }
}
