import * as core from '@tamarackferry/core';

/** Faulty order: of two documents with the same version, the first one that a VM sees stays. */
export class VersionOnlyDocumentOrder extends core.contracts.DocumentOrder {
  override isNewer(candidate: core.contracts.DocumentReference, held: core.contracts.DocumentReference | undefined): boolean {
    return held === undefined || candidate.version > held.version;
  }
}
