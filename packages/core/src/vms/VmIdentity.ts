/** Identifies one run of an entry process on a VM. */
export interface VmIdentity {
  /** Name of the VM from its settings, `[a-z0-9-]+`, unique in the deployment. */
  readonly name: string;
  /** Random token drawn at each start of the process. */
  readonly incarnation: string;
  /** IP address that callers and peers connect to. */
  readonly host: string;
  /** Port for callers. */
  readonly port: number;
  /** Port for peers. */
  readonly peerPort: number;
  /** Name of the place of the VM. */
  readonly place: string;
}
