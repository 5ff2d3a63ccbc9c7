import type * as core from '@tamarackferry/core';

import type * as catalogMessage from './CatalogMessage.js';
import type * as catalogTiming from './CatalogTiming.js';
import type * as retainedInstances from './RetainedInstances.js';
import type * as storeOutage from './StoreOutage.js';

// Instances renew their entries so often that none expires in a shorter outage.
const MIN_OUTAGE_MS = 3_000;

// Random numbers identify the VMs that find an outage; two VMs rarely draw the same one.
const WITNESS_SPAN = 2 ** 30;

// Two VMs that found an outage show that it was none of one VM only.
const MAX_WITNESSES = 2;

// The store may remove expired entries shortly after its return only.
const EXPIRY_DELAY_MS = 500;

/**
 * What a VM knows about the availability of the store: when its catalog was confirmed, directly or through other VMs, and whether a gap
 * between two confirmations was an outage of the store.
 *
 * Silent connections also leave gaps, and nothing expires then. So a gap counts as an outage only if a read on a new connection failed
 * in it, and no other VM was in contact with the store meanwhile.
 */
export class StoreContact {
  private confirmedAtMs = -Infinity;

  // Start of the time in which no gap between two confirmations was long enough for entries to expire.
  private confirmedSinceMs = -Infinity;

  private readStartedAtMs = -Infinity;

  // A read fails on a kept connection also if only this connection is broken. After a failure, a new one is opened.
  private connection: 'kept' | 'new' = 'new';

  // Start of the latest read that failed on a new connection.
  private failedAtMs = -Infinity;

  private outage: storeOutage.StoreOutage | undefined;

  // Identifies this VM among those that find an outage.
  private witness: number | undefined;

  /**
   * @param timing - Delays of the catalog.
   * @param random - Random source.
   */
  constructor(private readonly timing: catalogTiming.CatalogTiming, private readonly random: core.randomness.RandomSource) {}

  /** Gets the time at which the store last confirmed that the catalog is up to date, directly or through other VMs. */
  getConfirmedAtMs(): number {
    return this.confirmedAtMs;
  }

  /**
   * Records that a read starts.
   * @param nowMs - Current time.
   */
  recordRead(nowMs: number): void {
    this.readStartedAtMs = nowMs;
  }

  /** Records that the store has answered a read. */
  recordAnswer(): void {
    this.connection = 'kept';
  }

  /**
   * Records that the read in progress failed.
   * @param reason - Reason of the failure.
   */
  recordFailure(reason: catalogMessage.ReadFailureReason): void {
    if (reason === 'unreadable') return;
    if (this.connection === 'new' || reason === 'rejected') this.failedAtMs = this.readStartedAtMs;
    this.connection = 'new';
  }

  /**
   * Records a confirmation of the catalog. Returns whether an outage has ended with it, or `outdated` if a later one is known.
   * @param atMs - Time at which the store answered this VM or another one.
   * @param revision - Revision of the catalog.
   */
  recordConfirmation(atMs: number, revision: number): 'confirmed' | 'outage-ended' | 'outdated' {
    if (atMs <= this.confirmedAtMs) return 'outdated';
    const startedAtMs = this.confirmedAtMs;
    this.confirmedAtMs = atMs;
    if (atMs - startedAtMs <= MIN_OUTAGE_MS) return 'confirmed';
    this.confirmedSinceMs = atMs;
    if (startedAtMs === -Infinity || this.failedAtMs <= startedAtMs) return 'confirmed';
    this.witness ??= this.random.drawInteger(WITNESS_SPAN);
    this.mergeOutage({
      startedAtMs, failedAtMs: this.failedAtMs, endedAtMs: atMs, returnRevision: revision, witnesses: [this.witness],
    });
    return 'outage-ended';
  }

  /**
   * Records the removal of entries that were read from the store. Those that are removed at its return have expired in the outage.
   * @param revision - Latest revision that was read.
   * @param nowMs - Current time.
   */
  recordRemovals(revision: number, nowMs: number): void {
    if (this.outage === undefined || nowMs - this.outage.endedAtMs > EXPIRY_DELAY_MS) return;
    this.outage = { ...this.outage, returnRevision: Math.max(this.outage.returnRevision, revision) };
  }

  /**
   * Applies the report of another VM. It must be applied before the confirmation that comes with it.
   * @param report - Report of the VM.
   * @param nowMs - Current time.
   */
  applyReport({ confirmedForMs, outage }: storeOutage.StoreReport, nowMs: number): void {
    const confirmedSinceMs = nowMs - confirmedForMs;
    if (this.outage !== undefined && confirmedSinceMs <= this.outage.endedAtMs - MIN_OUTAGE_MS) this.outage = undefined;
    if (outage === undefined) return;
    const reported = {
      startedAtMs: nowMs - outage.startedAgeMs,
      failedAtMs: nowMs - outage.failedAgeMs,
      endedAtMs: nowMs - outage.endedAgeMs,
      returnRevision: outage.returnRevision,
      witnesses: outage.witnesses,
    };
    // A VM that was in contact with the store meanwhile knows that the other VM was cut off.
    const hadNoContact = reported.endedAtMs - this.confirmedAtMs > MIN_OUTAGE_MS;
    if (hadNoContact || StoreContact.isSameOutage(this.outage, reported)) this.mergeOutage(reported);
  }

  /** Gets what this VM knows, for other tasks. */
  getStatus(): storeOutage.StoreStatus {
    const { confirmedAtMs, confirmedSinceMs, outage } = this;
    return {
      confirmedAtMs,
      confirmedSinceMs,
      outage: outage === undefined ? undefined : { ...outage, retainedUntilMs: this.computeRetentionEndMs(outage) },
    };
  }

  /**
   * Builds the report for other VMs.
   * @param status - What this VM knows.
   * @param nowMs - Current time.
   */
  static buildReport({ confirmedAtMs, confirmedSinceMs, outage }: storeOutage.StoreStatus, nowMs: number): storeOutage.StoreReport {
    const confirmedForMs = nowMs - confirmedAtMs > MIN_OUTAGE_MS ? 0 : Math.round(nowMs - confirmedSinceMs);
    if (outage === undefined || nowMs >= outage.retainedUntilMs) return { confirmedForMs };
    return {
      confirmedForMs,
      outage: {
        startedAgeMs: Math.round(nowMs - outage.startedAtMs),
        failedAgeMs: Math.round(nowMs - outage.failedAtMs),
        endedAgeMs: Math.round(nowMs - outage.endedAtMs),
        returnRevision: outage.returnRevision,
        witnesses: outage.witnesses,
      },
    };
  }

  /**
   * Gets which missing instances are to be retained. Undefined if none are.
   * @param nowMs - Current time.
   */
  getRetention(nowMs: number): retainedInstances.Retention | undefined {
    if (this.outage === undefined) return undefined;
    const untilMs = this.computeRetentionEndMs(this.outage);
    return nowMs < untilMs ? { untilMs, returnRevision: this.outage.returnRevision } : undefined;
  }

  private computeRetentionEndMs({ endedAtMs, failedAtMs, witnesses }: storeOutage.StoreOutage): number {
    return this.timing.computeRetentionEndMs(endedAtMs, witnesses.length < MAX_WITNESSES ? failedAtMs : Infinity);
  }

  // Several VMs find the same outage. Together they know best when it ended: after the last failure, and before the first confirmation.
  private mergeOutage(found: storeOutage.StoreOutage): void {
    const known = this.outage;
    this.outage = StoreContact.isSameOutage(known, found)
      ? {
        startedAtMs: Math.max(known.startedAtMs, found.startedAtMs),
        failedAtMs: Math.max(known.failedAtMs, found.failedAtMs),
        endedAtMs: Math.min(known.endedAtMs, found.endedAtMs),
        returnRevision: Math.max(known.returnRevision, found.returnRevision),
        witnesses: [...new Set([...known.witnesses, ...found.witnesses])].slice(0, MAX_WITNESSES),
      }
      : found;
  }

  private static isSameOutage(
    known: storeOutage.StoreOutage | undefined,
    found: storeOutage.StoreOutage,
  ): known is storeOutage.StoreOutage {
    return known !== undefined && known.startedAtMs < found.endedAtMs && found.startedAtMs < known.endedAtMs;
  }
}
