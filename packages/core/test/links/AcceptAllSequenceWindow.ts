import * as core from '@tamarackferry/core';

/** Faulty policy: accepts every message, also duplicates and superseded exchanges. */
export class AcceptAllSequenceWindow extends core.links.SequenceWindow {
  override accept(): 'accepted' {
    return 'accepted';
  }
}
