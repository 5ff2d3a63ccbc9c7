import * as core from '@tamarackferry/core';

/** Faulty order: every document with a different digest is newer. */
export class AlwaysNewerDocumentOrder extends core.contracts.DocumentOrder {
  override isNewer(candidate: core.contracts.DocumentReference, held: core.contracts.DocumentReference | undefined): boolean {
    return candidate.digest !== held?.digest;
  }
}
