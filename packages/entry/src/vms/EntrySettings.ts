import type * as core from '@tamarackferry/core';

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
  readonly platformUrl: string;
  /** Public key of the console, base64 of its SPKI form. */
  readonly documentPublicKey: string;
  readonly addressValidityMs: number;
  readonly seedPeers: readonly core.vms.EntryVmListEntry[];
}
