/** Requests of one tenant that a VM has sent, as other VMs need to know them. */
export interface QuotaUsage {
  readonly tenant: string;
  /** `none`: the VM gets no requests of the tenant, and only passes on the total. */
  readonly interest: 'interested' | 'none';
  /** Requests sent since the process counts those of the tenant. */
  readonly sent: number;
  /** Requests sent within the window. */
  readonly inWindow: number;
  /** Those of them that were sent within the latest fifth of the window. */
  readonly recent: number;
  /** Requests that were admitted and not sent yet. */
  readonly pending: number;
  /** Requests of all VMs within the window, as far as the VM knows. */
  readonly total: number;
}

/** Message by which a VM tells others what it has sent. */
export interface QuotaNotice {
  readonly from: string;
  /** Host that notices for the VM are sent to. */
  readonly host: string;
  /** Number that identifies one run of the process. */
  readonly run: number;
  /** Number of the notice within the run. */
  readonly sequence: number;
  /** Time for which the process has counted, in milliseconds. */
  readonly ageMs: number;
  /**
   * `listed`: the directory returns the VM. `joined`: it does not, but callers use the VM; not all others know of it. `leaving`: it serves
   * no more callers, and needs no part of the quotas.
   */
  readonly standing: 'listed' | 'joined' | 'leaving';
  /** VMs that the VM is in contact with, and itself. */
  readonly inContact: number;
  readonly rows: readonly QuotaUsage[];
}
