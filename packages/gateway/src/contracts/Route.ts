/** Whether a request may be processed more than once. */
export type RequestKind = 'idempotent' | 'non-idempotent';

/** Whether a request needs the key of a tenant. */
export type RouteAccess = 'public' | 'keyed';

/** Service that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the weights of the other targets of the route. */
  readonly weight: number;
}

/** Declares how the requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly access: RouteAccess;
  /** Longest time from the arrival of a request to its answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Greatest number of attempts for one request, including retries and hedges. Attempts that reached no instance do not count. */
  readonly maxAttempts: number;
  /** Priority of the route; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
}
