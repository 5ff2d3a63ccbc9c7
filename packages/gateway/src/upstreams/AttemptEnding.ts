import type * as instanceStatement from './InstanceStatement.js';

/** Complete answer of an instance, as received. */
export interface InstanceAnswer {
  readonly status: number;
  /** Names and values of the headers alternately, without the hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * How an attempt ended.
 * - `answered`: the complete answer to the request was received.
 * - `not-run`: the instance states that it did not process the request.
 * - `misdirected`: the address now belongs to another instance; the request was not processed.
 * - `unsent`: no byte of the request was written.
 * - `reset`: the connection closed before the headers of an answer were received.
 * - `broken`: the answer was truncated or belongs to another request.
 * - `cancelled`: this VM cancelled the attempt.
 * Answers that are not passed on may still state that the instance is leaving.
 */
export type AttemptEnding =
  | { readonly type: 'answered'; readonly answer: InstanceAnswer; readonly statement: instanceStatement.InstanceStatement }
  | { readonly type: 'not-run'; readonly statement: instanceStatement.InstanceStatement }
  | { readonly type: 'misdirected' | 'unsent' | 'reset' }
  // `leaving` if the head of an answer to the request was received, in which the instance states this.
  | { readonly type: 'broken' | 'cancelled'; readonly presence?: 'leaving' | undefined };
