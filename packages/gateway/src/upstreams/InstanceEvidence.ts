/** What one VM knows of one instance from its own requests. */
export interface InstanceEvidence {
  readonly instance: string;
  readonly service: string;
  /** Log odds above the prior that the instance is gray. */
  readonly deviation: number;
  /** Requests of the VM in flight at the instance. */
  readonly inFlight: number;
}
