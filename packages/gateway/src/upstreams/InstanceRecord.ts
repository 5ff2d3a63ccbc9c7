/** Record that an instance has published about itself. */
export interface InstanceRecord {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly place: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time after its start during which it answers slowly, in milliseconds. */
  readonly warmupMs: number;
  /** Start time of its process as published, in milliseconds since the Unix epoch; undefined if none was published. */
  readonly startedAtMs: number | undefined;
}
