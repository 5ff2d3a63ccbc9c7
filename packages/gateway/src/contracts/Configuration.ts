import type * as route from './Route.js';

/** What the configuration says about one service. */
export interface ServiceSettings {
  readonly name: string;
  /** Path of the health check of its instances. */
  readonly healthPath: string;
  /** Connections that one instance accepts from all VMs together. */
  readonly maxConnections: number;
}

/** Bounds on what callers may send and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time that a caller has for the head of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle caller connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One complete version of what the operators declare. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly route.Route[];
  readonly services: readonly ServiceSettings[];
  readonly limits: CallerLimits;
}
