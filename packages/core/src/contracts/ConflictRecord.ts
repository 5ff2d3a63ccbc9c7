import type * as documentReference from './DocumentReference.js';

const CONFLICT_LIMIT = 16;

/** Records versions that operators published with different digests at the same time. */
export class ConflictRecord {
  private conflicts: documentReference.DocumentReference[] = [];

  /** Lists the references that take part in a conflict, the latest ones last. */
  listConflicts(): readonly documentReference.DocumentReference[] {
    return this.conflicts;
  }

  /**
   * Records a conflict if two references have the same version and different digests.
   * @param left - One reference.
   * @param right - Other reference, if any.
   * @returns Whether the conflict is a new one.
   */
  recordPair(left: documentReference.DocumentReference, right: documentReference.DocumentReference | undefined): 'new' | 'none' {
    if (right === undefined || left.version !== right.version || left.digest === right.digest) return 'none';
    const added = [left, right].filter((reference) => !this.conflicts.some(
      (known) => known.version === reference.version && known.digest === reference.digest,
    ));
    this.conflicts = [...this.conflicts, ...added].slice(-CONFLICT_LIMIT);
    return added.length > 0 ? 'new' : 'none';
  }
}
