import type * as core from '@tamarackferry/core';

/** Limits on the requests, connections and buffers of one entry process. */
export interface EntryLimits {
  /** Maximum length of the body of a caller's request. */
  readonly bodyBytes: number;
  /** Time within which the header section of a request must be received. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeoutMs: number;
  /** Maximum length of an upstream's answer that is buffered completely before it is sent to the caller; longer answers are streamed. */
  readonly bufferBytes: number;
}

/** Limits that apply if the settings specify none. */
export const DEFAULT_LIMITS: EntryLimits = {
  bodyBytes: 1024 * 1024, headerTimeoutMs: 5_000, idleTimeoutMs: 60_000, bufferBytes: 1024 * 1024,
};

/** Settings of one entry process. */
export interface EntrySettings {
  /** Name of the VM, unique in its deployment. */
  readonly name: string;
  /** Name of the deployment that the VM belongs to. */
  readonly deployment: string;
  /** Place that the VM runs in. */
  readonly place: string;
  /** IP address that the process listens on. */
  readonly host: string;
  /** Port to listen on for callers; 0 binds any free port. */
  readonly port: number;
  /** Port to listen on for peers; 0 binds any free port. */
  readonly peerPort: number;
  /** IP address that callers and peers connect to; defaults to `host`. */
  readonly advertisedHost?: string;
  /** Port that callers connect to; defaults to the bound port. */
  readonly advertisedPort?: number;
  /** Port that peers connect to; defaults to the bound port for peers. */
  readonly advertisedPeerPort?: number;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Public key that verifies configuration documents: an Ed25519 key in SPKI DER form, base64. */
  readonly documentPublicKey: string;
  /** Time for which callers may cache the addresses that this VM returns. */
  readonly addressValidityMs: number;
  /** Peers that the VM can contact before it has read the list of VMs. */
  readonly seedPeers: readonly core.vms.EntryVmListEntry[];
  /** Defaults to `DEFAULT_LIMITS`. */
  readonly limits?: EntryLimits;
  /** Address of the StatsD server; if undefined, no metrics are sent. */
  readonly metrics?: { readonly host: string; readonly port: number };
}
