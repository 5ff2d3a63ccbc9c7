/** Address of one entry VM. */
export interface VmAddress {
  /** Name of the VM; empty for a seed, whose name is not known. */
  readonly vm: string;
  readonly host: string;
  readonly port: number;
}

/** VMs to use for one service. */
export interface AddressSet {
  readonly addresses: readonly VmAddress[];
  /** VM that gave the answer. It is the home of the operation prefix. */
  readonly source: VmAddress;
  readonly operationPrefix: string | undefined;
  readonly validForMs: number;
}
