/** Upstream instance that an attempt or probe is sent to. */
export interface InstanceAddress {
  readonly service: string;
  /** Name of the instance, unique in the service. */
  readonly name: string;
  /** Token that changes each time the instance is restarted or replaced. */
  readonly incarnation: string;
  readonly host: string;
  readonly port: number;
  readonly place: string;
}
