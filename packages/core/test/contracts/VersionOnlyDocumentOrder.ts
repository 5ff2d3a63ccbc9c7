import * as core from '@tamarackferry/core';

/**
 * Defective variant for tests: ignores digests, so of two documents with the same version each VM keeps the one that it received first.
 * The test must fail with it.
 */
export class VersionOnlyDocumentOrder extends core.contracts.DocumentOrder {
  override isNewer(candidate: core.contracts.DocumentReference, held: core.contracts.DocumentReference | undefined): boolean {
    return held === undefined || candidate.version > held.version;
  }
}
