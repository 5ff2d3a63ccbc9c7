/** What one VM knows of the limit that an instance states, and how many requests it has sent since. */
export interface LimitEvidence {
  /** Limit in requests per second; undefined if the instance no longer states one. */
  readonly perSecond: number | undefined;
  /** Time since the attempt was sent whose answer states it, in milliseconds. */
  readonly ageMs: number;
  /** Number of requests that the VM has sent to the instance since it knows of the limit. */
  readonly sent: number;
}

/** Evidence about the health and load of one instance, from the requests of one VM only. */
export interface InstanceEvidence {
  readonly instance: string;
  readonly service: string;
  /** Log odds that the instance has a gray failure, minus the prior log odds. */
  readonly deviation: number;
  /** Number of requests of the VM in flight at the instance. */
  readonly inFlight: number;
  /** Limit of the instance; undefined if it states none and stated none recently. */
  readonly limit?: LimitEvidence | undefined;
}
