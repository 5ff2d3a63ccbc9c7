import * as core from '@tamarackferry/core';

/** Faulty order in which every other document is newer. */
export class CarelessDocumentOrder extends core.contracts.DocumentOrder {
  override isNewer(candidate: core.contracts.DocumentReference, held: core.contracts.DocumentReference | undefined): boolean {
    return candidate.digest !== held?.digest;
  }
}
