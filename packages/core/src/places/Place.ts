/** Availability zone that VMs and upstream instances run in. */
export interface Place {
  /** Name, unique in the deployment. */
  readonly name: string;
  /** Region that the place belongs to. */
  readonly region: string;
}
