import type * as core from '@tamarackferry/core';

/** Limits on the requests, connections and buffers of one entry process. */
export interface EntryLimits {
  /** Maximum length of the body of a caller's request. */
  readonly bodyBytes: number;
  /** Time within which the header section of a request must be received. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeoutMs: number;
  /** Answers of upstreams up to this length are buffered completely before they are sent to the caller; longer ones are streamed. */
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
  /** Port to listen on for peers, the other entry VMs of the deployment; 0 binds any free port. */
  readonly peerPort: number;
  /** IP address that callers and peers connect to; defaults to `host`. */
  readonly advertisedHost?: string;
  /** Port that callers connect to; defaults to the bound port. */
  readonly advertisedPort?: number;
  /** Port that peers connect to; defaults to the bound port for peers. */
  readonly advertisedPeerPort?: number;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Ed25519 public key for the signatures (seals) of configuration documents: base64 of its SPKI DER form. */
  readonly documentPublicKey: string;
  /** Time for which callers may cache the addresses of VMs that this VM returns to address queries. */
  readonly addressValidityMs: number;
  /** Peers that the VM can contact before it has read the list of VMs. */
  readonly seedPeers: readonly core.vms.EntryVmListEntry[];
  /** Defaults to `DEFAULT_LIMITS`. */
  readonly limits?: EntryLimits;
  /** Address of the StatsD server; if undefined, no metrics are sent. */
  readonly metrics?: { readonly host: string; readonly port: number };
}
