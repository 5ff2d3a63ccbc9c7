import type * as documentReference from './DocumentReference.js';

const MAX_REFERENCES = 16;

/** Records conflicts: version numbers under which operators published several documents with different digests. */
export class ConflictRecord {
  private conflicts: documentReference.DocumentReference[] = [];

  /** Lists the references that are part of a conflict, the latest ones last. */
  listConflicts(): readonly documentReference.DocumentReference[] {
    return this.conflicts;
  }

  /**
   * Records a conflict if two references have the same version and different digests.
   * @param left - First reference.
   * @param right - Second reference, if any.
   * @returns `new` if a conflict was recorded that was not known before.
   */
  recordPair(left: documentReference.DocumentReference, right: documentReference.DocumentReference | undefined): 'new' | 'none' {
    if (right === undefined || left.version !== right.version || left.digest === right.digest) return 'none';
    const added = [left, right].filter((reference) => !this.conflicts.some(
      (known) => known.version === reference.version && known.digest === reference.digest,
    ));
    this.conflicts = [...this.conflicts, ...added].slice(-MAX_REFERENCES);
    return added.length > 0 ? 'new' : 'none';
  }
}
