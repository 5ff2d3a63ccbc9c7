/** Evidence about the health and load of one instance, from the requests of one VM only. */
export interface InstanceEvidence {
  readonly instance: string;
  readonly service: string;
  /** Log odds that the instance has a gray failure, minus the prior log odds. */
  readonly deviation: number;
  /** Number of requests of the VM in flight at the instance. */
  readonly inFlight: number;
}
