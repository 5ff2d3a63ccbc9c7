/** Address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a front process. */
export interface FrontSettings {
  readonly name: string;
  readonly place: string;
  readonly host: string;
  /** Address that callers connect to. */
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly directory: ListenAddress;
  /** Address on which other VMs ask for news; the port is the same on all VMs. */
  readonly news: ListenAddress;
  /** Port for heartbeats, the same on all VMs. */
  readonly heartbeatPort: number;
  /** Hosts of VMs to ask for others. */
  readonly seedHosts: readonly string[];
  /** Processor share of the VM, in cores. */
  readonly capacity: number;
  /** Time that a stopped process has, in milliseconds. */
  readonly graceMs: number;
  /** Longest time for which callers may keep an answer of the directory, in milliseconds. */
  readonly maxValidityMs: number;
  /** Repeats that all VMs together may send to a service for each request. */
  readonly retryRatio: number;
  /** Repeats that all VMs together may send to a service on top in each window. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Number of places. */
  readonly placeCount: number;
  readonly metrics: { readonly port: number; readonly path: string } | undefined;
}
