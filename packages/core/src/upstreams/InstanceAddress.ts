/** Identity and network address of an upstream instance, to which attempts and probes are sent. */
export interface InstanceAddress {
  /** Name of the service that the instance belongs to. */
  readonly service: string;
  /** Name of the instance, unique in the service. */
  readonly name: string;
  /** Token that differs after each restart or replacement of the instance. */
  readonly incarnation: string;
  readonly host: string;
  readonly port: number;
  readonly place: string;
}
