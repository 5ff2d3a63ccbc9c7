import type * as core from '@tamarackferry/core';

/** Limits of one entry process. */
export interface EntryLimits {
  /** Greatest body of a caller's request. */
  readonly bodyBytes: number;
  /** Time within which the head of a request has to arrive. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeoutMs: number;
  /** Greatest answer that is held back until it is complete; larger ones are streamed. */
  readonly bufferBytes: number;
}

/** Limits of a process whose settings name none. */
export const DEFAULT_LIMITS: EntryLimits = {
  bodyBytes: 1024 * 1024, headerTimeoutMs: 5_000, idleTimeoutMs: 60_000, bufferBytes: 1024 * 1024,
};

/** Settings of one entry process. */
export interface EntrySettings {
  readonly name: string;
  readonly deployment: string;
  readonly place: string;
  /** IP address that the process listens on. */
  readonly host: string;
  /** Port for callers; 0 binds a free one. */
  readonly port: number;
  /** Port for peers; 0 binds a free one. */
  readonly peerPort: number;
  /** IP address that callers and peers connect to; the one that the process listens on if not given. */
  readonly advertisedHost?: string;
  /** Port that callers connect to; the bound one if not given. */
  readonly advertisedPort?: number;
  /** Port that peers connect to; the bound one if not given. */
  readonly advertisedPeerPort?: number;
  readonly platformUrl: string;
  /** Public key of the console, base64 of its SPKI form. */
  readonly documentPublicKey: string;
  readonly addressValidityMs: number;
  readonly seedPeers: readonly core.vms.EntryVmListEntry[];
  /** Default limits if not given. */
  readonly limits?: EntryLimits;
  /** Address of StatsD; no metrics are sent if not given. */
  readonly metrics?: { readonly host: string; readonly port: number };
}
