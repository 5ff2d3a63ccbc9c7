/** Number of requests that an instance reports about itself. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Answer of an instance, whole and as received. */
export interface InstanceAnswer {
  readonly status: number;
  /** Names and values in turn, without those of one connection. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * How an attempt ended.
 * - `answered`: the whole answer of the request.
 * - `not-run`: the instance states that it did not run the request.
 * - `misdirected`: another instance has the address; the request did not run.
 * - `unsent`: no byte of the request was written.
 * - `reset`: the connection ended before the head of an answer.
 * - `broken`: the answer broke off or is not the answer of this request.
 * - `cancelled`: withdrawn by this VM.
 */
export type AttemptEnding =
  | { readonly type: 'answered'; readonly answer: InstanceAnswer; readonly load: ReportedLoad | undefined }
  | { readonly type: 'not-run'; readonly load: ReportedLoad | undefined }
  | { readonly type: 'misdirected' | 'unsent' | 'reset' | 'broken' | 'cancelled' };
