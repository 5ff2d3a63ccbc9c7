/** What an instance has published about itself. */
export interface InstanceRecord {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly place: string;
  /** Requests that it processes at the same time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time for which it stays slow after its start, in milliseconds. */
  readonly warmupMs: number;
  /** Start of the process as it states it, in milliseconds since the epoch; undefined if it states none. */
  readonly startedAtMs: number | undefined;
}
