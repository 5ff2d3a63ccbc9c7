import * as core from '@tamarackferry/core';

/** Defective variant for tests: accepts every message, including duplicates and superseded exchanges. The tests must fail with it. */
export class AcceptAllSequenceWindow extends core.links.SequenceWindow {
  override accept(): 'accepted' {
    return 'accepted';
  }
}
