/** Availability zone that VMs and upstream instances run in. */
export interface Place {
  /** Name, unique in the deployment. */
  readonly name: string;
  readonly region: string;
}
