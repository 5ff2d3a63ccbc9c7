import * as callRecord from './CallRecord.js';

// Records of requests without an operation id are dropped after this time; no copy of them can be on the way then.
const KEPT_MS = 60_000;

/** Record of all requests of the fake callers. */
export class CallRegistry {
  private readonly records = new Map<string, callRecord.CallRecord>();

  private readonly operations = new Map<string, callRecord.CallRecord>();

  private nextToken = 0;

  /**
   * Creates the record of a new request.
   * @param options - Member, service and kind.
   * @param token - Name of the request; drawn in sequence if not given.
   */
  addRecord(options: callRecord.CallRecordOptions, token?: string): callRecord.CallRecord {
    this.nextToken += 1;
    const record = new callRecord.CallRecord(token ?? `q${this.nextToken}`, options);
    (options.kind.repeatability === 'idempotent' && token === undefined ? this.records : this.operations).set(record.token, record);
    return record;
  }

  /**
   * Gets the record of a request.
   * @param token - Name of the request.
   */
  getRecord(token: string): callRecord.CallRecord | undefined {
    return this.records.get(token) ?? this.operations.get(token);
  }

  /**
   * Drops old records of requests that may run more than once.
   * @param nowMs - Virtual time in milliseconds.
   */
  pruneRecords(nowMs: number): void {
    // Records stand in the order of their times, so the scan ends at the first recent one.
    for (const record of this.records.values()) {
      if (record.options.sentAtMs > nowMs - KEPT_MS) return;
      this.records.delete(record.token);
    }
  }
}
