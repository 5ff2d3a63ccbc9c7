import type * as answerRetentionPolicy from './AnswerRetentionPolicy.js';
import * as operationEntry from './OperationEntry.js';
import type * as operationEpochs from './OperationEpochs.js';
import type * as operationId from './OperationId.js';
import type * as outcome from './Outcome.js';

const ISSUING_OCCUPANCY = 0.9;

/** Decision about a request whose operation has this VM as its home. */
export type LedgerDecision =
  | { readonly type: 'run' }
  | { readonly type: 'joined' }
  | { readonly type: 'settled'; readonly outcome: outcome.Outcome };

/** Options of an `OperationLedger`. */
export interface OperationLedgerOptions {
  readonly epochs: operationEpochs.OperationEpochs;
  readonly retention: answerRetentionPolicy.AnswerRetentionPolicy;
  /** Maximum number of entries. */
  readonly maxEntries: number;
}

/** Records the operations of the admitted epochs. An entry is removed only after its epoch has closed. */
export class OperationLedger {
  // Keyed by epoch and nonce; the other components of the ids are the same for all entries.
  private readonly entriesByEpoch = new Map<number, Map<string, operationEntry.OperationEntry>>();

  private entryCount = 0;

  private runningCount = 0;

  private retainedBytes = 0;

  private prunedAtEpoch = 0;

  /** @param options - Policies and size of the ledger. */
  constructor(private readonly options: OperationLedgerOptions) {}

  /**
   * Decides how to handle a request, and records the operation if it may run.
   * @param id - Operation id whose home is this VM.
   * @param digest - Identifies the content of the request.
   * @param waiter - Receives the outcome if the operation is running already.
   * @param nowMs - Monotonic time in milliseconds.
   */
  begin(id: operationId.OperationId, digest: string, waiter: operationEntry.OperationWaiter, nowMs: number): LedgerDecision {
    const { epochs, maxEntries } = this.options;
    this.prune(nowMs);
    if (!epochs.isAdmitted(id.epoch, nowMs)) return { type: 'settled', outcome: { type: 'unknown', reason: 'operation-epoch-closed' } };
    const entry = this.entriesByEpoch.get(id.epoch)?.get(id.nonce);
    if (entry !== undefined) return this.resolveDuplicate(entry, digest, waiter);
    // The reply is not `not-run`: without a record, a late duplicate of the request could still run.
    if (this.entryCount >= maxEntries) return { type: 'settled', outcome: { type: 'unknown', reason: 'ledger-full' } };
    this.insertEntry(id, new operationEntry.OperationEntry(digest));
    return { type: 'run' };
  }

  /**
   * Records the outcome of an operation and returns the requests that waited for it. An outcome that was recorded earlier is replaced
   * only if it is `unknown` and the new one is an answer.
   * @param id - Operation id.
   * @param full - Outcome of the operation.
   * @param nowMs - Monotonic time in milliseconds.
   */
  finish(id: operationId.OperationId, full: outcome.Outcome, nowMs: number): readonly operationEntry.OperationWaiter[] {
    const entry = this.entriesByEpoch.get(id.epoch)?.get(id.nonce);
    if (entry === undefined || !entry.canRecordOutcome(full.type)) return [];
    if (entry.isRunning()) this.runningCount -= 1;
    const limited = this.options.retention.limitOutcome(full, this.retainedBytes);
    this.retainedBytes += limited.bytes;
    const waiters = entry.recordOutcome(limited.retained);
    if (!this.options.epochs.isAdmitted(id.epoch, nowMs)) this.removeEntry(id.epoch, id.nonce);
    return waiters;
  }

  /**
   * Removes a request that waits for an operation.
   * @param id - Operation id.
   * @param requestId - Request that no longer waits.
   */
  removeWaiter(id: operationId.OperationId, requestId: string): void {
    this.entriesByEpoch.get(id.epoch)?.get(id.nonce)?.removeWaiter(requestId);
  }

  /**
   * Removes the finished entries of closed epochs. Entries of running operations are kept for the requests that wait for them.
   * @param nowMs - Monotonic time in milliseconds.
   */
  prune(nowMs: number): void {
    const current = this.options.epochs.computeCurrent(nowMs);
    if (current === this.prunedAtEpoch) return;
    this.prunedAtEpoch = current;
    [...this.entriesByEpoch].filter(([epoch]) => !this.options.epochs.isAdmitted(epoch, nowMs)).forEach(([epoch, entries]) => {
      entries.forEach((entry, nonce) => {
        if (!entry.isRunning()) this.removeEntry(epoch, nonce);
      });
    });
  }

  /** Whether the ledger has room for the operations of further prefixes. */
  canIssue(): boolean {
    return this.entryCount < this.options.maxEntries * ISSUING_OCCUPANCY;
  }

  /** Counts the entries. */
  countEntries(): number {
    return this.entryCount;
  }

  /** Counts the operations that are running. */
  countRunning(): number {
    return this.runningCount;
  }

  private resolveDuplicate(entry: operationEntry.OperationEntry, digest: string, waiter: operationEntry.OperationWaiter): LedgerDecision {
    if (entry.digest !== digest) {
      return { type: 'settled', outcome: { type: 'not-run', reason: 'operation-id-reused', retryAfterMs: 0 } };
    }
    const recorded = entry.getOutcome();
    if (recorded !== undefined) return { type: 'settled', outcome: recorded };
    entry.addWaiter(waiter);
    return { type: 'joined' };
  }

  private insertEntry(id: operationId.OperationId, entry: operationEntry.OperationEntry): void {
    const entries = this.entriesByEpoch.get(id.epoch) ?? new Map<string, operationEntry.OperationEntry>();
    this.entriesByEpoch.set(id.epoch, entries);
    entries.set(id.nonce, entry);
    this.entryCount += 1;
    this.runningCount += 1;
  }

  private removeEntry(epoch: number, nonce: string): void {
    const entries = this.entriesByEpoch.get(epoch);
    this.retainedBytes -= entries?.get(nonce)?.getRetainedBytes() ?? 0;
    if (entries?.delete(nonce) === true) this.entryCount -= 1;
    if (entries?.size === 0) this.entriesByEpoch.delete(epoch);
  }
}
