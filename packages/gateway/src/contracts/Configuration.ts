import type * as route from './Route.js';
import type * as tenant from './Tenant.js';

/** Settings of one service. */
export interface ServiceSettings {
  readonly name: string;
  /** Path of the health check of its instances. */
  readonly healthPath: string;
  /** Number of connections that one instance accepts from all VMs together. */
  readonly maxConnections: number;
}

/** Limits for the size of requests of callers and for the time that callers may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time within which a caller must send the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle caller connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration published by the operators. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly route.Route[];
  readonly services: readonly ServiceSettings[];
  readonly limits: CallerLimits;
  /** Empty if callers are not identified. */
  readonly tenants: readonly tenant.Tenant[];
}
