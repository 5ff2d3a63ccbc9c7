import * as core from '@tamarackferry/core';

/** Faulty order: ignores digests, so of two documents with the same version each VM keeps the one that it received first. */
export class VersionOnlyDocumentOrder extends core.contracts.DocumentOrder {
  override isNewer(candidate: core.contracts.DocumentReference, held: core.contracts.DocumentReference | undefined): boolean {
    return held === undefined || candidate.version > held.version;
  }
}
