/** Entry VM in the list that the platform publishes. */
export interface EntryVmListEntry {
  readonly role: 'entry';
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly peerPort: number;
  readonly place: string;
  /** `leaving`: the VM is shutting down. */
  readonly state: 'live' | 'leaving';
}

/** Upstream instance in the list that the platform publishes. */
export interface UpstreamListEntry {
  readonly role: 'upstream';
  readonly name: string;
  /** Service that the instance belongs to. */
  readonly service: string;
  /** Token that changes each time the instance is restarted or replaced. */
  readonly incarnation: string;
  readonly host: string;
  readonly port: number;
  readonly place: string;
  /** `leaving`: the instance takes no new requests. */
  readonly state: 'live' | 'leaving';
}

/** Entry of the platform's list of live and leaving VMs and instances. The list may be out of date. */
export type ListEntry = EntryVmListEntry | UpstreamListEntry;
