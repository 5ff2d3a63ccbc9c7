import * as core from '@tamarackferry/core';

/** Faulty policy: a peer that does not respond becomes unreachable without an indirect probe. */
export class DirectOnlyReachabilityDetector extends core.links.ReachabilityDetector {
  override evaluate(nowMs: number): 'probe-indirectly' | 'none' {
    this.recordReport('silent', nowMs);
    super.evaluate(nowMs);
    return 'none';
  }
}
