import type * as tasks from '../tasks/index.js';
import type * as answerRetentionPolicy from './AnswerRetentionPolicy.js';
import type * as ledgerMessage from './LedgerMessage.js';
import type * as outcome from './Outcome.js';
import * as retainedAnswer from './RetainedAnswer.js';

/** Request that waits for the outcome of an operation that another request runs. */
export interface OperationWaiter {
  readonly requestId: string;
  readonly replyTo: tasks.Mailbox<ledgerMessage.LedgerReply>;
}

/** Record of one operation. It holds the waiting requests while the operation runs, then the outcome. */
export class OperationEntry {
  // A ledger holds many entries, so that one field serves both states.
  private content: OperationWaiter[] | answerRetentionPolicy.RetainedOutcome['retained'] | undefined;

  /** @param digest - Identifies the request; a repeat must carry the same. */
  constructor(readonly digest: string) {}

  /** Gets the outcome; undefined while the operation runs. */
  getOutcome(): outcome.Outcome | undefined {
    if (this.content === undefined || Array.isArray(this.content)) return undefined;
    return this.content instanceof retainedAnswer.RetainedAnswer ? this.content.toOutcome() : this.content;
  }

  /** Gets the size of the kept answer, in bytes. */
  getRetainedBytes(): number {
    return this.content instanceof retainedAnswer.RetainedAnswer ? this.content.bytes : 0;
  }

  /** Tells whether the operation has no outcome yet. */
  isRunning(): boolean {
    return this.content === undefined || Array.isArray(this.content);
  }

  /**
   * Tells whether an outcome may be recorded. Only an answer replaces "unknown"; the other outcomes are final.
   * @param type - Type of the outcome.
   */
  canRecord(type: outcome.Outcome['type']): boolean {
    if (this.content === undefined || Array.isArray(this.content)) return true;
    return type === 'answered' && !(this.content instanceof retainedAnswer.RetainedAnswer) && this.content.type === 'unknown';
  }

  /**
   * Records the outcome and returns the requests that waited for it.
   * @param kept - What is kept of the outcome.
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
   * Removes a request that has gone.
   * @param requestId - Request that waits no more.
   */
  removeWaiter(requestId: string): void {
    if (Array.isArray(this.content)) this.content = this.content.filter((waiter) => waiter.requestId !== requestId);
  }
}
