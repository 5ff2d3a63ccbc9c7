import type * as upstreamMode from './UpstreamMode.js';

/** Options of an `UpstreamStandin`. */
export interface UpstreamStandinOptions {
  /** Requests that are served at the same time; further ones are shed. 4 if not given. */
  readonly slots?: number;
  /** Time that a request takes; 0 if not given. */
  readonly serviceTimeMs?: number;
  /** Time after the start for which requests take five times as long; 0 if not given. */
  readonly coldStartMs?: number;
  /** Time by which lagging reports are old; 5,000 if not given. */
  readonly reportLagMs?: number;
  readonly reports?: upstreamMode.ReportState;
  readonly mode?: upstreamMode.UpstreamMode;
  /** Port to listen on; a free one if not given. */
  readonly port?: number;
  /** Address to listen on; loopback if not given. */
  readonly host?: string;
}
