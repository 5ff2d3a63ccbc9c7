import * as core from '@tamarackferry/core';

/** Faulty rule: every message is handled, however late. */
export class AcceptAllSequenceWindow extends core.links.SequenceWindow {
  override accept(): 'fresh' {
    return 'fresh';
  }
}
