/** States which instances of a service the sender has ejected; an empty list after the last one returned. */
export interface EjectionNotice {
  readonly service: string;
  readonly instances: readonly string[];
}
