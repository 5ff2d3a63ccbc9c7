import type * as gateway from '@tamarackferry/gateway';

/** Host and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a front process, which runs on each VM and routes requests of callers to instances. */
export interface FrontSettings {
  /** Name of the VM. */
  readonly name: string;
  /** Place (availability zone) of the VM. */
  readonly place: string;
  /** Host name or IP address at which other VMs reach this VM. */
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
  /** Number of CPU cores available to the VM; may be a fraction. */
  readonly capacity: number;
  /** What the link of the VM bears, in Mbit/s; undefined if it is not known. */
  readonly linkCapacityMbps?: number | undefined;
  /** Memory that the process may use, in bytes. */
  readonly memoryBytes: number;
  /** Number of descriptors that the process may have open; undefined if it is not limited. */
  readonly maxDescriptors: number | undefined;
  /** Grace period of a shutdown: time from the stop signal until the process must have exited, in milliseconds. */
  readonly shutdownGraceMs: number;
  /** Upper bound on the validity (TTL) of a directory response, in milliseconds. */
  readonly maxValidityMs: number;
  /** Maximum ratio of retries to requests for a service, summed over all VMs. */
  readonly retryRatio: number;
  /** Retries per window that are allowed in addition to `retryRatio`, for each service, summed over all VMs. */
  readonly retrySlack: number;
  /** Smallest share of the sound instances of a service that must be used while many of its requests are not served. */
  readonly floorShare: number;
  /** Length of the sliding window of the retry budget, in milliseconds. */
  readonly retryWindowMs: number;
  /** Time after a disturbance of a VM from which all bounds hold for it again, in milliseconds. */
  readonly stableWindowMs: number;
  /** Time within which a published configuration must be in force everywhere, in milliseconds. */
  readonly configApplyMs: number;
  /** Bounds within which the quotas of tenants must hold over all VMs together. */
  readonly quotas: gateway.callers.QuotaBounds;
  /** Number of places in the deployment. */
  readonly placeCount: number;
  /** Port and path of the metrics; undefined if they are not served. */
  readonly metrics: { readonly port: number; readonly path: string } | undefined;
}
