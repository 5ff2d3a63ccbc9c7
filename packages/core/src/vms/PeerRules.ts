import * as links from '../links/index.js';
import * as drainNoticeStore from './DrainNoticeStore.js';
import * as incarnationPolicy from './IncarnationPolicy.js';

/** Factory of the policies of the `PeerTask`. Subclasses in tests replace single policies. */
export class PeerRules {
  /** Creates the failure detector for one peer. */
  createReachabilityDetector(): links.ReachabilityDetector {
    return new links.ReachabilityDetector();
  }

  /** Creates the filter for duplicate and reordered messages of one incarnation of a peer. */
  createSequenceWindow(): links.SequenceWindow {
    return new links.SequenceWindow();
  }

  /** Creates the policy that decides which incarnation of a peer is the current one. */
  createIncarnationPolicy(): incarnationPolicy.IncarnationPolicy {
    return new incarnationPolicy.IncarnationPolicy();
  }

  /** Creates the store for drain notices. */
  createDrainNoticeStore(): drainNoticeStore.DrainNoticeStore {
    return new drainNoticeStore.DrainNoticeStore();
  }
}
