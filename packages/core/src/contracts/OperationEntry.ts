import type * as tasks from '../tasks/index.js';
import type * as answerRetentionPolicy from './AnswerRetentionPolicy.js';
import type * as ledgerMessage from './LedgerMessage.js';
import type * as outcome from './Outcome.js';
import * as retainedAnswer from './RetainedAnswer.js';

/** Request that waits for the outcome of an operation that another request started. */
export interface OperationWaiter {
  readonly requestId: string;
  readonly replyTo: tasks.Mailbox<ledgerMessage.LedgerReply>;
}

/** Ledger entry of one operation. It contains the waiting requests while the operation runs, and the outcome afterwards. */
export class OperationEntry {
  // Waiting requests, or undefined for none, while the operation runs; then the outcome. One field saves memory: there are many entries.
  private state: OperationWaiter[] | answerRetentionPolicy.RetainedOutcome['retained'] | undefined;

  /** @param digest - Identifies the content of the request; a later request with the same operation id must have the same digest. */
  constructor(readonly digest: string) {}

  /** Gets the outcome; undefined while the operation runs. */
  getOutcome(): outcome.Outcome | undefined {
    if (this.state === undefined || Array.isArray(this.state)) return undefined;
    return this.state instanceof retainedAnswer.RetainedAnswer ? this.state.toOutcome() : this.state;
  }

  /** Gets the size of the retained answer, in bytes. */
  getRetainedBytes(): number {
    return this.state instanceof retainedAnswer.RetainedAnswer ? this.state.bytes : 0;
  }

  /** Whether the operation has no outcome yet. */
  isRunning(): boolean {
    return this.state === undefined || Array.isArray(this.state);
  }

  /**
   * Whether an outcome may be recorded. Any outcome may be recorded while the operation runs; afterwards, only an answer may replace
   * `unknown`.
   * @param type - Type of the outcome.
   */
  canRecordOutcome(type: outcome.Outcome['type']): boolean {
    if (this.state === undefined || Array.isArray(this.state)) return true;
    return type === 'answered' && !(this.state instanceof retainedAnswer.RetainedAnswer) && this.state.type === 'unknown';
  }

  /**
   * Records the outcome and returns the requests that waited for it.
   * @param retained - Outcome to store.
   */
  recordOutcome(retained: answerRetentionPolicy.RetainedOutcome['retained']): readonly OperationWaiter[] {
    const waiters = Array.isArray(this.state) ? this.state : [];
    this.state = retained;
    return waiters;
  }

  /**
   * Adds a request that waits for the outcome.
   * @param waiter - Request with the same operation id.
   */
  addWaiter(waiter: OperationWaiter): void {
    if (this.isRunning()) this.state = [...Array.isArray(this.state) ? this.state : [], waiter];
  }

  /**
   * Removes a request that no longer waits.
   * @param requestId - Id of the request.
   */
  removeWaiter(requestId: string): void {
    if (Array.isArray(this.state)) this.state = this.state.filter((waiter) => waiter.requestId !== requestId);
  }
}
