import * as core from '@tamarackferry/core';

/** Faulty rule: a silent peer is given up without asking a third one. */
export class DirectOnlyReachabilityDetector extends core.links.ReachabilityDetector {
  override evaluate(nowMs: number): 'probe-indirectly' | 'none' {
    this.recordReport('silent', nowMs);
    super.evaluate(nowMs);
    return 'none';
  }
}
