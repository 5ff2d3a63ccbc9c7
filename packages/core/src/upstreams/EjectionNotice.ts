/** Notice to peers of all instances of a service that the sending VM currently has ejected. */
export interface EjectionNotice {
  readonly service: string;
  /** Names of the instances; empty if there are none any more. */
  readonly instances: readonly string[];
}
