/** Counts that one VM gathered about one instance in its recent window. */
export interface EvidenceRow {
  readonly instance: string;
  readonly incarnation: string;
  /** Attempts that were answered on time. */
  readonly good: number;
  /** Attempts that failed, timed out, came late or were corrupt. */
  readonly bad: number;
}
