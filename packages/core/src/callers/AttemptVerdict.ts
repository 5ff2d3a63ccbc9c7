import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';

/** What the result of an attempt proves about its request. */
export type AttemptVerdict =
  /** The instance sent a complete answer to this request. */
  | { readonly type: 'answered'; readonly answer: contracts.UpstreamAnswer }
  /** The whole answer was streamed to the caller. */
  | { readonly type: 'streamed' }
  /** It is proven that the instance did not run the request: it refused the connection or declared one of the other causes. */
  | { readonly type: 'not-run'; readonly cause: 'refused' | 'shed' | 'draining' | 'cancelled' }
  /** The instance may have run the request. */
  | { readonly type: 'unknown'; readonly reason: contracts.UnknownReason };

/** What the result of an attempt means for the health of its instance and for the outcome of its request. */
export interface AttemptEvaluation {
  /** Health observation of the instance; `withdrawn` has no bearing on it. */
  readonly observation: upstreams.Observation;
  readonly verdict: AttemptVerdict;
}
