/** Host and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a front process. */
export interface FrontSettings {
  /** Name of the VM. */
  readonly name: string;
  /** Place (availability zone) of the VM. */
  readonly place: string;
  /** Host of the VM, under which other VMs reach it. */
  readonly host: string;
  /** Listen address for requests of callers. */
  readonly callers: ListenAddress;
  /** Listen address for readiness checks of the platform. */
  readonly readiness: ListenAddress;
  /** Listen address for directory requests of callers. */
  readonly directory: ListenAddress;
  /** Listen address for catalog update requests of other VMs; the port is the same on all VMs. */
  readonly news: ListenAddress;
  /** UDP port for heartbeats, the same on all VMs. */
  readonly heartbeatPort: number;
  /** Hosts of the VMs that a starting VM contacts first, to discover all others. */
  readonly seedHosts: readonly string[];
  /** CPU share of the VM, in cores. */
  readonly capacity: number;
  /** Time from the stop signal until the process must have exited, in milliseconds. */
  readonly shutdownGraceMs: number;
  /** Maximum time for which callers may cache a directory response, in milliseconds. */
  readonly maxValidityMs: number;
  /** Retries that all VMs together may send to a service, per request. */
  readonly retryRatio: number;
  /** Additional retries that all VMs together may send to a service in each window. */
  readonly retrySlack: number;
  /** Length of the sliding window of the retry budget, in milliseconds. */
  readonly retryWindowMs: number;
  /** Number of places in the deployment. */
  readonly placeCount: number;
  /** Port and path of the metrics; undefined if they are not served. */
  readonly metrics: { readonly port: number; readonly path: string } | undefined;
}
