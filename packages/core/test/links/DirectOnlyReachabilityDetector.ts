import * as core from '@tamarackferry/core';

/**
 * Defective variant for tests: records an indirect probe as failed without sending it, so that a peer becomes unreachable because it
 * does not respond to this VM alone. The tests must fail with it.
 */
export class DirectOnlyReachabilityDetector extends core.links.ReachabilityDetector {
  override evaluate(nowMs: number): 'probe-indirectly' | 'none' {
    this.recordReport('silent', nowMs);
    super.evaluate(nowMs);
    return 'none';
  }
}
