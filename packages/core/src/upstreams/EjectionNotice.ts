/** Notice of the names of all instances of a service that the sending VM has ejected; empty after the last one was reinstated. */
export interface EjectionNotice {
  readonly service: string;
  readonly instances: readonly string[];
}
