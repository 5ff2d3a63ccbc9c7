/** Time in which the store was unavailable, as far as VMs know. Entries of instances may have expired in it. */
export interface StoreOutage {
  /** Time of the last confirmation before it. */
  readonly startedAtMs: number;
  /** Start of the latest read that failed on a new connection. */
  readonly failedAtMs: number;
  /** Time of the first confirmation after it. */
  readonly endedAtMs: number;
  /** Revision of the store at its return. Entries that were removed later did not expire in the outage. */
  readonly returnRevision: number;
  /** Random numbers of VMs that found the store unavailable, two at most. One alone may have been cut off. */
  readonly witnesses: readonly number[];
}

/** Era of the store that the catalog of a VM is of. */
export interface StoreEra {
  /** Number of the era, which is above 0. */
  readonly number: number;
  /** Time of the return of the store with which the era began, as far as it is known: that of the first answer. */
  readonly returnedAtMs: number;
  /** Version of the configuration in force, which may be newer than that of the store; 0 if there is none. */
  readonly version: number;
}

/** What a VM knows about the availability of the store. */
export interface StoreStatus {
  /** Time at which the store last confirmed that the catalog is up to date, directly or through other VMs. */
  readonly confirmedAtMs: number;
  /** Start of the time in which no gap between two confirmations was long enough for entries to expire. */
  readonly confirmedSinceMs: number;
  /** Latest outage, with the end of the retention of instances that are missing after it. */
  readonly outage: (StoreOutage & { readonly retainedUntilMs: number }) | undefined;
  /** Missing in era 0. */
  readonly era?: StoreEra | undefined;
}

/** What a VM tells others about the availability of the store. Ages are in milliseconds. */
export interface StoreReport {
  /** Time for which the catalog of the VM has been confirmed without an interruption in which entries could expire; 0 if it is not. */
  readonly confirmedForMs: number;
  /** Latest outage, as long as instances are retained after it. */
  readonly outage?: {
    readonly startedAgeMs: number;
    readonly failedAgeMs: number;
    readonly endedAgeMs: number;
    readonly returnRevision: number;
    readonly witnesses: readonly number[];
  } | undefined;
  /** Era of the catalog of the VM, time since the return of the store, and version of its configuration. Missing in era 0. */
  readonly era?: number | undefined;
  readonly eraAgeMs?: number | undefined;
  readonly version?: number | undefined;
}
