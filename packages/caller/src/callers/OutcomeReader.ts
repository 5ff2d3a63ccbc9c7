import type * as links from '../links/index.js';
import type * as callerRequest from './CallerRequest.js';

/** Outcome of one try at one VM. */
export type AttemptOutcome =
  | { readonly type: 'answered'; readonly answer: callerRequest.CallerAnswer }
  /** `retryAfterMs` is undefined if another try has no prospect. */
  | { readonly type: 'not-run'; readonly reason: string; readonly retryAfterMs: number | undefined; readonly operationPrefix: string | undefined }
  | { readonly type: 'unknown'; readonly reason: string }
  /** No byte of the request was written. */
  | { readonly type: 'refused'; readonly reason: 'unreachable' | 'overdue' | 'cancelled' };

/** Reads the outcome that a VM declares in the headers of its answer. */
export class OutcomeReader {
  /**
   * Reads the outcome of a try.
   * @param reply - How the try ended.
   */
  static parse(reply: links.VmReply): AttemptOutcome {
    if (reply.type === 'refused') return { type: 'refused', reason: reply.cause };
    if (reply.type === 'broken') return { type: 'unknown', reason: reply.cause };
    const { status, headers, body } = reply;
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
    // An answer without an outcome did not come from a VM, so it proves nothing.
    return { type: 'unknown', reason: outcome === 'unknown' ? reason : 'outcome-missing' };
  }
}
