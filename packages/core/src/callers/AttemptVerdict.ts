import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';

/** What the end of an attempt proves about its request. */
export type AttemptVerdict =
  /** Complete answer to this request. */
  | { readonly type: 'answered'; readonly answer: contracts.UpstreamAnswer }
  /** The whole answer was streamed to the caller. */
  | { readonly type: 'streamed' }
  /** Proof that the instance did not run the request. */
  | { readonly type: 'not-run'; readonly cause: 'refused' | 'shed' | 'draining' | 'cancelled' }
  /** The instance may have run the request. */
  | { readonly type: 'unknown'; readonly reason: contracts.UnknownReason };

/** Meaning of the end of an attempt for its instance and for its request. */
export interface AttemptEvaluation {
  readonly observation: upstreams.Observation;
  readonly verdict: AttemptVerdict;
}
