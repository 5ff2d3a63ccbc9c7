/** Service-discovery record of an instance, which the instance publishes as its entry in the store. */
export interface InstanceRecord {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly place: string;
  /** Concurrency limit of the instance. Each request that is being processed occupies one slot. */
  readonly slots: number;
  /** `draining`: completes its requests and receives no new ones. */
  readonly state: 'ready' | 'draining';
  /** Length of the warm-up after the start of the process, in milliseconds. Answers are slower during it. */
  readonly warmupMs: number;
  /** Start time of its process as published, in milliseconds since the Unix epoch; undefined if none was published. */
  readonly startedAtMs: number | undefined;
}
