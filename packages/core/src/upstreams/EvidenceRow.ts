/** Counts of the recent attempts of one VM at one instance, as it reports them to other VMs. */
export interface EvidenceRow {
  readonly instance: string;
  readonly incarnation: string;
  /** Attempts that were answered correctly and on time. */
  readonly good: number;
  /** Attempts that failed, timed out, were refused, or whose answer was late, slow or corrupt. */
  readonly bad: number;
}
