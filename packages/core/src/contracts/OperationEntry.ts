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

/** Record of one operation. It contains the waiting requests while the operation runs, and the outcome afterwards. */
export class OperationEntry {
  // One field for both states, to save memory: a ledger holds many entries.
  private content: OperationWaiter[] | answerRetentionPolicy.RetainedOutcome['retained'] | undefined;

  /** @param digest - Identifies the content of the request; a later request with the same operation id must have the same digest. */
  constructor(readonly digest: string) {}

  /** Gets the outcome; undefined while the operation runs. */
  getOutcome(): outcome.Outcome | undefined {
    if (this.content === undefined || Array.isArray(this.content)) return undefined;
    return this.content instanceof retainedAnswer.RetainedAnswer ? this.content.toOutcome() : this.content;
  }

  /** Gets the size of the retained answer, in bytes. */
  getRetainedBytes(): number {
    return this.content instanceof retainedAnswer.RetainedAnswer ? this.content.bytes : 0;
  }

  /** Whether the operation has no outcome yet. */
  isRunning(): boolean {
    return this.content === undefined || Array.isArray(this.content);
  }

  /**
   * Whether an outcome may be recorded. Only an answer replaces `unknown`; the other outcomes are final.
   * @param type - Type of the outcome.
   */
  canRecord(type: outcome.Outcome['type']): boolean {
    if (this.content === undefined || Array.isArray(this.content)) return true;
    return type === 'answered' && !(this.content instanceof retainedAnswer.RetainedAnswer) && this.content.type === 'unknown';
  }

  /**
   * Records the outcome and returns the requests that waited for it.
   * @param retained - Outcome in the form that is retained.
   */
  record(retained: answerRetentionPolicy.RetainedOutcome['retained']): readonly OperationWaiter[] {
    const waiters = Array.isArray(this.content) ? this.content : [];
    this.content = retained;
    return waiters;
  }

  /**
   * Adds a request that waits for the outcome.
   * @param waiter - Request with the same id.
   */
  addWaiter(waiter: OperationWaiter): void {
    if (this.isRunning()) this.content = [...Array.isArray(this.content) ? this.content : [], waiter];
  }

  /**
   * Removes a request that no longer waits.
   * @param requestId - Id of the request.
   */
  removeWaiter(requestId: string): void {
    if (Array.isArray(this.content)) this.content = this.content.filter((waiter) => waiter.requestId !== requestId);
  }
}
