import * as core from '@tamarackferry/core';

/** Defective variant for tests: every document with a different digest is newer. The test must fail with it. */
export class AlwaysNewerDocumentOrder extends core.contracts.DocumentOrder {
  override isNewer(candidate: core.contracts.DocumentReference, held: core.contracts.DocumentReference | undefined): boolean {
    return candidate.digest !== held?.digest;
  }
}
