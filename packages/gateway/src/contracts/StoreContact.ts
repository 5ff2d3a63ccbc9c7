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

// Retained instances are dropped once the catalog was confirmed at the end of the retention. VMs know this end with a difference of some
// round trips.
const RETURN_SLACK_MS = 100;

// Interval at which the confirmation is looked for, if it is late.
const HOLD_CHECK_MS = 250;

// The store may remove expired entries shortly after its return only.
const EXPIRY_DELAY_MS = 500;

// Return of the store from an older copy.
interface StoreReturn {
  readonly era: number;
  readonly returnedAtMs: number;
  readonly returnRevision: number;
  // Instances that are missing are retained until this time, since the store was unavailable again; -Infinity if it was not.
  readonly extendedUntilMs: number;
  // Whether this VM has used instances since before the return.
  readonly witnessed: 'yes' | 'no';
}

/**
 * What a VM knows about the availability of the store: when its catalog was confirmed, directly or through other VMs, and whether a gap
 * between two confirmations was an outage of the store.
 *
 * Silent connections also leave gaps, and nothing expires then. So a gap counts as an outage only if a read on a new connection failed
 * in it, and no other VM was in contact with the store meanwhile.
 *
 * A new era of the store shows without doubt that it was unavailable, for all VMs and however short the gap.
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

  // Latest return of the store from an older copy.
  private storeReturn: StoreReturn | undefined;

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
   * Records the era of the catalog.
   * @param era - Era of the store.
   * @param returnedAtMs - Time of the return of the store, as far as it is known.
   * @param revision - Revision of the catalog.
   * @param witnessed - Whether this VM has a catalog of an earlier era.
   */
  recordEra(era: number, returnedAtMs: number, revision: number, witnessed: 'yes' | 'no'): void {
    if (era <= (this.storeReturn?.era ?? 0)) return;
    this.storeReturn = {
      era, returnedAtMs, returnRevision: revision, extendedUntilMs: -Infinity, witnessed,
    };
    // The revisions of an outage in an earlier era cannot be compared with those of this one.
    this.outage = undefined;
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
    this.updateReturnEnd(startedAtMs, atMs);
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
    if (this.outage !== undefined && nowMs - this.outage.endedAtMs <= EXPIRY_DELAY_MS) {
      this.outage = { ...this.outage, returnRevision: Math.max(this.outage.returnRevision, revision) };
    }
    if (this.storeReturn !== undefined && nowMs - this.storeReturn.returnedAtMs <= EXPIRY_DELAY_MS) {
      this.storeReturn = { ...this.storeReturn, returnRevision: Math.max(this.storeReturn.returnRevision, revision) };
    }
  }

  /**
   * Applies the report of another VM. It must be applied before the confirmation that comes with it.
   * @param report - Report of the VM.
   * @param nowMs - Current time.
   */
  applyReport({
    confirmedForMs, outage, era = 0, eraAgeMs,
  }: storeOutage.StoreReport, nowMs: number): void {
    if (era !== (this.storeReturn?.era ?? 0)) return;
    if (this.storeReturn !== undefined && eraAgeMs !== undefined) {
      this.storeReturn = { ...this.storeReturn, returnedAtMs: Math.min(this.storeReturn.returnedAtMs, nowMs - eraAgeMs) };
    }
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

  /**
   * Gets what this VM knows, for other tasks.
   * @param version - Version of the configuration in force; 0 if there is none.
   */
  getStatus(version = 0): storeOutage.StoreStatus {
    const {
      confirmedAtMs, confirmedSinceMs, outage, storeReturn,
    } = this;
    return {
      ...storeReturn === undefined ? {} : { era: { number: storeReturn.era, returnedAtMs: storeReturn.returnedAtMs, version } },
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
  static buildReport({
    confirmedAtMs, confirmedSinceMs, outage, era,
  }: storeOutage.StoreStatus, nowMs: number): storeOutage.StoreReport {
    const report = {
      confirmedForMs: nowMs - confirmedAtMs > MIN_OUTAGE_MS ? 0 : Math.round(nowMs - confirmedSinceMs),
      ...era === undefined ? {} : { era: era.number, eraAgeMs: Math.max(0, Math.round(nowMs - era.returnedAtMs)), version: era.version },
    };
    if (outage === undefined || nowMs >= outage.retainedUntilMs) return report;
    return {
      ...report,
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
    const untilMs = this.outage === undefined ? -Infinity : this.computeRetentionEndMs(this.outage);
    const found = this.outage !== undefined && nowMs < untilMs ? { untilMs, returnRevision: this.outage.returnRevision } : undefined;
    const returned = this.getReturnRetention(nowMs);
    if (found === undefined || returned === undefined) return found ?? returned;
    return {
      untilMs: Math.max(found.untilMs, returned.untilMs), returnRevision: Math.max(found.returnRevision, returned.returnRevision),
    };
  }

  // If the store was unavailable again meanwhile, instances get the rest of their time to write their entries.
  private updateReturnEnd(startedAtMs: number, atMs: number): void {
    if (this.storeReturn === undefined || this.failedAtMs <= startedAtMs || startedAtMs < this.storeReturn.returnedAtMs) return;
    const endMs = this.computeReturnEndMs(this.storeReturn);
    if (startedAtMs < endMs) this.storeReturn = { ...this.storeReturn, extendedUntilMs: atMs + endMs - startedAtMs };
  }

  private computeReturnEndMs({ returnedAtMs, extendedUntilMs }: StoreReturn): number {
    return Math.max(this.timing.computeRetentionEndMs(returnedAtMs, Infinity), extendedUntilMs);
  }

  /**
   * Gets the time at which a confirmation of the catalog is needed to drop the instances that are retained after a return of the store.
   * Undefined if none is.
   * @param nowMs - Current time.
   */
  getReturnEndMs(nowMs: number): number | undefined {
    if (this.storeReturn === undefined || this.getReturnRetention(nowMs) === undefined) return undefined;
    return this.computeReturnEndMs(this.storeReturn);
  }

  // Without a confirmation at the end, the store may be unavailable again. Then instances have had no time to write their entries, and the
  // last known ones stay in use.
  private getReturnRetention(nowMs: number): retainedInstances.Retention | undefined {
    if (this.storeReturn === undefined || this.storeReturn.witnessed === 'no') return undefined;
    const { returnRevision } = this.storeReturn;
    const endMs = this.computeReturnEndMs(this.storeReturn);
    const untilMs = this.confirmedAtMs >= endMs - RETURN_SLACK_MS ? endMs : Math.max(endMs, nowMs + HOLD_CHECK_MS);
    return nowMs < untilMs ? { untilMs, returnRevision } : undefined;
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
