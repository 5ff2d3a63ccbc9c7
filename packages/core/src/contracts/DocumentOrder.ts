import type * as documentReference from './DocumentReference.js';

/** Total order of the document versions. It is the same on every VM, so that VMs agree on the newest version without coordination. */
export class DocumentOrder {
  /**
   * Compares two versions by version number, then by digest as text.
   * @param left - First version.
   * @param right - Second version.
   * @returns A negative number if the left one is earlier.
   */
  compareReferences(left: documentReference.DocumentReference, right: documentReference.DocumentReference): number {
    if (left.version !== right.version) return left.version - right.version;
    if (left.digest === right.digest) return 0;
    return left.digest < right.digest ? -1 : 1;
  }

  /**
   * Whether a version is newer than the held one.
   * @param candidate - Version to compare.
   * @param held - Version that this VM holds, if any.
   */
  isNewer(candidate: documentReference.DocumentReference, held: documentReference.DocumentReference | undefined): boolean {
    return held === undefined || this.compareReferences(candidate, held) > 0;
  }
}
