/** End of a fake link. */
export interface Endpoint {
  readonly name: string;
  /** Place of a VM or an instance; empty for callers and the platform. */
  readonly place: string;
  readonly role: 'vms' | 'instances' | 'callers' | 'platform';
}

/** One-way condition between two sets of ends; each set is a name, a place, a role or `all`. */
export interface LinkCondition {
  readonly from: string;
  readonly to: string;
  readonly state: 'cut' | 'disturbed';
  /** Delay that is added to each message, in milliseconds. */
  readonly delayMs: number;
  /** Share of packets that are lost. */
  readonly lossShare: number;
  /** Share of peer messages that are delivered twice. */
  readonly duplicateShare: number;
  /** Share of peer messages that later ones overtake. */
  readonly reorderShare: number;
}
