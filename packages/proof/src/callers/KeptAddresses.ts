/** Address answer that a caller keeps. */
export interface KeptAddresses {
  readonly vms: readonly string[];
  readonly prefix: string | undefined;
  /** VM that gave the answer. */
  readonly issuer: string;
  readonly receivedAtMs: number;
  readonly validUntilMs: number;
}
