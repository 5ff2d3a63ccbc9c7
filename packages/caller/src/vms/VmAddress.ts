/** Address of one entry VM. */
export interface VmAddress {
  /** Name of the VM. Empty for a seed address, which is configured without a name. */
  readonly vm: string;
  readonly host: string;
  readonly port: number;
}

/** Addresses of the VMs that serve requests for one service. */
export interface AddressSet {
  readonly addresses: readonly VmAddress[];
  /** VM that the addresses were read from. If it issued an operation prefix, it is the home VM of that prefix. */
  readonly source: VmAddress;
  /** Prefix for the ids of new operations. Undefined if the VM issues none at present. */
  readonly operationPrefix: string | undefined;
  /** Time from the read until the addresses expire. */
  readonly validForMs: number;
}
