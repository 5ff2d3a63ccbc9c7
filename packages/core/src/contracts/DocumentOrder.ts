import type * as documentReference from './DocumentReference.js';

/** Orders the versions of the document in the same way on every VM, without any agreement between them. */
export class DocumentOrder {
  /**
   * Compares two versions: by version number, then by digest, compared as text.
   * @param left - One version.
   * @param right - Other version.
   * @returns A negative number if the left one is earlier.
   */
  compareReferences(left: documentReference.DocumentReference, right: documentReference.DocumentReference): number {
    if (left.version !== right.version) return left.version - right.version;
    if (left.digest === right.digest) return 0;
    return left.digest < right.digest ? -1 : 1;
  }

  /**
   * Whether a version goes before the one that is held.
   * @param candidate - Version to consider.
   * @param held - Version that this VM holds, if any.
   */
  isNewer(candidate: documentReference.DocumentReference, held: documentReference.DocumentReference | undefined): boolean {
    return held === undefined || this.compareReferences(candidate, held) > 0;
  }
}
