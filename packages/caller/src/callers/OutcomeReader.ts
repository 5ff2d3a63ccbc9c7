import type * as links from '../links/index.js';
import type * as callerRequest from './CallerRequest.js';

/** Outcome of one attempt: the request sent to one VM once. */
export type AttemptOutcome =
  | { readonly type: 'answered'; readonly answer: callerRequest.CallerAnswer }
  /** The VM declared that the upstream did not run the request. `retryAfterMs` is undefined if a retry has no prospect of success. */
  | { readonly type: 'not-run'; readonly reason: string; readonly retryAfterMs: number | undefined; readonly operationPrefix: string | undefined }
  /** It is unknown whether the upstream ran the request. */
  | { readonly type: 'unknown'; readonly reason: string }
  /** No byte of the request was written to a connection, so no VM received it. */
  | { readonly type: 'refused'; readonly reason: 'unreachable' | 'overdue' | 'cancelled' };

/** Parses the outcome that a VM declares in the headers of its response. */
export class OutcomeReader {
  /**
   * Parses the outcome of an attempt.
   * @param result - Response of the VM, or why there is none.
   */
  static parse(result: links.VmRequestResult): AttemptOutcome {
    if (result.type === 'refused') return { type: 'refused', reason: result.cause };
    if (result.type === 'broken') return { type: 'unknown', reason: result.cause };
    const { status, headers, body } = result;
    const outcome = headers.get('tamarack-outcome');
    const reason = headers.get('tamarack-reason') ?? '';
    if (outcome === 'answered') return { type: 'answered', answer: { status, headers, body } };
    if (outcome === 'not-run') {
      const retryAfter = headers.get('retry-after');
      const isRetryable = retryAfter !== undefined && /^\d{1,6}$/.test(retryAfter);
      return {
        type: 'not-run', reason, retryAfterMs: isRetryable ? Number(retryAfter) * 1_000 : undefined, operationPrefix: headers.get('tamarack-operation-prefix'),
      };
    }
    // Every VM sets the outcome header. A response without it, or with another value, came from another server
    // and does not show whether the request ran.
    return { type: 'unknown', reason: outcome === 'unknown' ? reason : 'outcome-missing' };
  }
}
