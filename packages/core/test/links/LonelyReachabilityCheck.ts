import * as core from '@tamarackferry/core';

/** Faulty rule: a silent peer is given up without asking a third one. */
export class LonelyReachabilityCheck extends core.links.ReachabilityCheck {
  override evaluate(nowMs: number): 'ask-others' | 'settled' {
    this.recordReport('silent', nowMs);
    super.evaluate(nowMs);
    return 'settled';
  }
}
